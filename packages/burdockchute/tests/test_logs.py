"""Log lines: one line of key=value pairs per event."""

from __future__ import annotations

import contextlib
import io
import logging
import os
import unittest

import logfmter

from burdockchute import logs


class LogsTest(unittest.TestCase):
    def test_event_is_one_line_of_pairs(self):
        stderr = io.StringIO()
        log = logging.getLogger('burdockchute')
        handlers = list(log.handlers)
        with contextlib.redirect_stderr(stderr):
            logs.set_up('info', 'entry-1')
            self.addCleanup(setattr, log, 'handlers', handlers)
            logging.disable(logging.NOTSET)
            self.addCleanup(logging.disable, logging.CRITICAL)
            logs.event('table_applied', offset=3, reason='two\nlines')
        line = stderr.getvalue()
        self.assertEqual(1, line.count('\n'))
        _at, remainder = line.split(' level=', 1)
        self.assertEqual(
            'INFO event=table_applied offset=3 '
            'reason="two\\nlines" proc=entry-1\n',
            remainder,
        )

    def test_text_at_the_limit_of_a_field_and_beyond(self):
        """A client chose the length of a line with the target it named."""
        most = logs.MAX_TEXT_CHARS
        log = logging.getLogger('burdockchute')
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        for count, end in ((most, ''), (most + 1, '...')):
            with self.assertLogs(log) as logged:
                logs.event('request_turned_away', target='t' * count)
            (record,) = logged.records
            self.assertEqual('t' * most + end, record.msg['target'])


class Unprintable:
    """A value whose text can't be built."""

    def __repr__(self):
        raise ValueError('too many digits')

    __str__ = __repr__


class BoundedHandlerTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.reader, writer = os.pipe()
        os.set_blocking(writer, False)
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.handler = logs.BoundedHandler(writer, lambda: self.now)

    def write(self, count, level=logging.INFO, text='line'):
        for _line in range(count):
            record = logging.LogRecord('x', level, '', 0, text, (), None)
            self.handler.emit(record)

    def lines(self):
        try:
            return os.read(self.reader, 1 << 20).decode().splitlines()
        except BlockingIOError:
            return []

    def test_a_flood_is_bounded_and_counted(self):
        """Something writes ten thousand lines in one moment.

        Writing all of them would use the processor time of the requests; if
        they were dropped without a count, the log would look complete.
        """
        self.write(10_000)
        allowed = int(logs.BURST_LINES * logs.INFO_SHARE)
        self.assertEqual(allowed, len(self.lines()))
        self.now = 10.0
        self.write(1)
        self.assertEqual(
            [f'event=lines_left_out count={10_000 - allowed}', 'line'],
            self.lines(),
        )

    def test_warnings_are_written_in_a_flood(self):
        self.write(10_000)
        self.lines()
        self.write(1, logging.WARNING, 'lost')
        self.assertEqual(['lost'], self.lines())

    def test_a_line_that_can_not_be_written_does_not_end_its_writer(self):
        """A field has a lone surrogate, as JSON may, or can't be formatted.

        The error went to whoever logged, and ended a task and its process.
        """
        log = logging.getLogger('burdockchute')
        self.addCleanup(setattr, log, 'handlers', list(log.handlers))
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        log.handlers = [self.handler]
        self.handler.setFormatter(logfmter.Logfmter())
        logs.warn('record_unreadable', key='north\ud800')
        logs.warn('record_unreadable', key=Unprintable())
        logs.warn('stopped')
        lines = self.lines()
        self.assertEqual(2, len(lines))
        self.assertIn('north\\ud800', lines[0])
        self.assertIn('stopped', lines[1])
        self.assertEqual(1, self.handler.dropped)

    def test_a_reader_that_stops_reading_blocks_no_writer(self):
        """The pipe is full, because its reader has stopped reading.

        A process that waited for the pipe would stop serving.
        """
        for _second in range(40):
            self.now += 1.0
            self.write(300, text='x' * 100)
        self.assertGreater(self.handler.dropped, 0)
        complete = [line for line in self.lines() if line == 'x' * 100]
        self.assertGreater(len(complete), 500)


class DroppingStreamTest(unittest.TestCase):
    """Nobody reads the pipe that a process writes its errors to.

    It stopped at the next traceback or line, and did not end when asked to.
    """

    def test_a_full_pipe_does_not_block_a_write(self):
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        self.addCleanup(os.close, write_end)
        stream = logs.DroppingStream(write_end)
        text = 'x' * 5000
        for _number in range(100):
            self.assertEqual(len(text), stream.write(text))
        received = os.read(read_end, 1_000_000)
        self.assertTrue(received.startswith(b'x' * 5000))
        self.assertLess(len(received), 100 * len(text))
        self.assertTrue(os.get_blocking(write_end))
        stream.write('again \ud800')
        self.assertEqual(b'again \\ud800', os.read(read_end, 100))

    def test_a_closed_reader_is_no_error(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        self.addCleanup(os.close, write_end)
        self.assertEqual(4, logs.DroppingStream(write_end).write('text'))
