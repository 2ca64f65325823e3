"""A fake entry: one link to a real agent, controlled by the test."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import json
import time
from typing import Any

from gevent import queue

from burdockchute.model.rows import key_of
from burdockchute.model.rows import Row
from burdockchute.nodes import links
from burdockchute.wire import messages

TIMEOUT_S = 30.0


class FakeEntry:
    """Sends rows and requests to an agent and records its messages."""

    def __init__(self, address: str, port: int, name: str = 'e1') -> None:
        self.inbox: queue.Queue = queue.Queue()
        self.offset = 0
        hello = messages.Hello(
            name, 'entry', 'z', 'r', f'{name}-1', 0, links.PROTOCOL
        )
        self.link = links.dial(
            address, port, hello, self.inbox, lambda: self.offset
        )

    def close(self) -> None:
        """Close the link."""
        self.link.close('test ends')

    def send_rows(self, *rows: Row) -> None:
        """Send these rows as the complete table."""
        self.offset += 1
        records = [_record_of(row, self.offset) for row in rows]
        self.link.send(messages.TableDelta(-1, self.offset, records))

    def send_members(self, members: Iterable[messages.Member]) -> None:
        """Send the list of members."""
        self.link.send(messages.Members(list(members), self.offset))

    def dispatch(self, request_id: str, **fields: Any) -> None:
        """Dispatch a request; `document` is the JSON body of a completion."""
        document = fields.pop('document', None)
        if document is not None:
            fields['body'] = json.dumps(document).encode()
        values: dict[str, Any] = {
            'attempt_id': f'{request_id}-1',
            'customer': 'lindwurm',
            'target': 'story',
            'digest': '',
            'adapter_digest': '',
            'idempotent': True,
            'budget_ms': 20_000,
            'priority': 0,
            'method': '',
            'path': '',
            'content_type': 'application/json',
            'body': b'',
            'stream': True,
            'adapter': '',
        }
        self.link.send(messages.Dispatch(request_id, **{**values, **fields}))

    def next_event(self, timeout_s: float = TIMEOUT_S) -> links.Event:
        """Wait for the next event of the link, ignoring load reports."""
        until = time.monotonic() + timeout_s
        while True:
            event = self.inbox.get(timeout=max(0, until - time.monotonic()))
            message = getattr(event, 'message', None)
            if not isinstance(message, messages.LoadReport):
                return event

    def wait_shutdown_report(self) -> None:
        """Wait for a load report that says that the agent is shutting down."""
        leaving = False
        while not leaving:
            event = self.inbox.get(timeout=TIMEOUT_S)
            leaving = getattr(getattr(event, 'message', 0), 'leaving', False)

    def messages_of(self, request_id: str) -> Iterator[Any]:
        """Yield the messages about a request, up to its end or not-run.

        Messages about other requests are dropped, so only one request can
        be read at a time. Raises LinkError if the link closes.
        """
        while True:
            event = self.next_event()
            if isinstance(event, links.Closed):
                raise links.LinkError(event.reason)
            message = getattr(event, 'message', None)
            if getattr(message, 'request_id', '') != request_id:
                continue
            yield message
            if isinstance(message, messages.AnswerEnd | messages.NotRun):
                return


def _record_of(row: Row, offset: int) -> messages.RowRecord:
    key = key_of(row)
    document = json.dumps(row._asdict()).encode()
    return messages.RowRecord(key.kind, key.name, offset, document)
