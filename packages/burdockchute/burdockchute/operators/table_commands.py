"""The table's commands: list, set, remove, import, export, history.

They talk to the log service themselves, so that rows can be edited while
every entry is being replaced.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import pathlib
import sys
import time
from typing import Any
from typing import NamedTuple
from typing import TextIO
import uuid

from returns.result import Failure

from burdockchute import commands
from burdockchute import settings
from burdockchute.commands import EXIT_FAILED
from burdockchute.model import checks
from burdockchute.model import findings
from burdockchute.model import reducer
from burdockchute.model.findings import Finding
from burdockchute.model.records import EditRecord
from burdockchute.model.records import MAX_EDITS
from burdockchute.model.records import RowEdit
from burdockchute.model.rows import KINDS
from burdockchute.model.table import Table
from burdockchute.operators import table_csv
from burdockchute.operators import table_edits
from burdockchute.operators import table_history
from burdockchute.operators import table_text
from burdockchute.operators import table_writer
from burdockchute.platform import table_log
from burdockchute.platform.log import Log
from burdockchute.platform.log import LogClient
from burdockchute.settings import EXIT_BAD_INPUT

STDIN = '-'

# A single lost reply is not an outage.
MAX_LOAD_ATTEMPTS = 3
LOAD_RETRY_S = 0.3

SETTINGS = (
    settings.Setting(
        'log-url', 'http://HOST:PORT of the log service', settings.parse_url
    ),
    settings.Setting(
        'by', 'who edits, for the history', settings.parse_text, ''
    ),
    settings.Setting(
        'timeout-s',
        'seconds to wait until an edit is read back',
        settings.parse_seconds,
        '15',
    ),
)


class Console(NamedTuple):
    """The streams that a command reads from and writes to."""

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO


class Session(NamedTuple):
    """The log, arguments and console of one run of a command."""

    log: Log
    by: str
    timeout_s: float
    args: argparse.Namespace
    console: Console


def add_parser(subparsers: Any) -> None:
    """Add `table` and its commands."""
    table = subparsers.add_parser(
        'table',
        help='show and edit the rows of the table',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subcommands = table.add_subparsers(dest='verb', required=True)
    list_parser = _add_command(subcommands, 'list', 'show the rows')
    list_parser.add_argument('--kind', choices=KINDS, help='only this kind')
    set_parser = _add_command(
        subcommands,
        'set',
        'change columns of a row, or add it: set model/story version=2 ...',
    )
    set_parser.add_argument('key', metavar='KIND/NAME')
    set_parser.add_argument('columns', metavar='COLUMN=VALUE', nargs='+')
    remove_parser = _add_command(subcommands, 'remove', 'remove rows')
    remove_parser.add_argument('keys', metavar='KIND/NAME', nargs='+')
    import_parser = _add_command(
        subcommands, 'import', 'take the rows of a CSV file'
    )
    import_parser.add_argument('file', help="CSV file, '-' for standard input")
    import_parser.add_argument(
        '--remove-missing',
        action='store_true',
        help='also remove the rows that the file does not have',
    )
    for edit_parser in (set_parser, remove_parser, import_parser):
        edit_parser.add_argument(
            '--yes', action='store_true', help='save without asking'
        )
        edit_parser.add_argument(
            '--dry-run', action='store_true', help='only show the changes'
        )
    _add_command(
        subcommands, 'export', 'write the rows as CSV to standard output'
    )
    history_parser = _add_command(
        subcommands, 'history', 'show the edits that the log still keeps'
    )
    history_parser.add_argument('key', metavar='KIND/NAME', nargs='?')


def run(
    args: argparse.Namespace,
    environ: Mapping[str, str],
    make_log: Callable[[str], Log] = LogClient,
    console: Console | None = None,
) -> int:
    """Run the given command and return its exit status.

    0 for success, 1 if nothing or not everything was saved, or if the log
    can't be read, 2 for bad input.
    """
    values = commands.read_or_exit(SETTINGS, args, environ)
    session = Session(
        make_log(values['log_url']),
        values['by'],
        values['timeout_s'],
        args,
        console or Console(sys.stdin, sys.stdout, sys.stderr),
    )
    return _COMMANDS[args.verb](session)


def _add_command(
    subcommands: Any, name: str, text: str
) -> argparse.ArgumentParser:
    parser = subcommands.add_parser(name, help=text, description=text)
    settings.add_flags(parser, SETTINGS)
    return parser


def _list(session: Session) -> int:
    table = _load(session)
    if table is None:
        return EXIT_FAILED
    for key, revisioned in sorted(table.rows.items()):
        if session.args.kind in (None, key.kind):
            _print_line(session, table_text.describe_row(key, revisioned))
    return 0


def _export(session: Session) -> int:
    table = _load(session)
    if table is None:
        return EXIT_FAILED
    session.console.stdout.write(table_csv.write(table.rows))
    return 0


def _set(session: Session) -> int:
    args = session.args
    return _edit(
        session,
        lambda table: table_edits.edits_to_set(table, args.key, args.columns),
    )


def _remove(session: Session) -> int:
    keys = session.args.keys
    return _edit(
        session, lambda table: table_edits.edits_to_remove(table, keys)
    )


def _import(session: Session) -> int:
    name = session.args.file
    try:
        data = _read_file(session, name)
    except OSError as exc:
        return _report_findings(
            session, [Finding(name, exc.strerror or str(exc))]
        )
    read = table_csv.read(data, name)
    if isinstance(read, Failure):
        return _report_findings(session, read.failure())
    return _edit(
        session,
        lambda table: table_edits.edits_to_import(
            table, read.unwrap(), session.args.remove_missing
        ),
    )


def _history(session: Session) -> int:
    key = None
    if session.args.key:
        try:
            key = checks.parse_key(session.args.key)
        except ValueError as exc:
            return _report_findings(
                session, [Finding(session.args.key, str(exc))]
            )
    read = table_history.read_history(session.log, key)
    if isinstance(read, Failure):
        _print_error(session, f'the log can not be read: {read.failure()!r}')
        return EXIT_FAILED
    for entry in read.unwrap():
        header = (
            f'{entry.offset} {entry.at} {entry.by or "?"}: {entry.verdict}'
        )
        _print_line(session, f'{header}\n{entry.edits}')
    return 0


def _edit(
    session: Session,
    make_edits: Callable[[Table], table_edits.Edits],
) -> int:
    table = _load(session)
    if table is None:
        return EXIT_FAILED
    edits_result = make_edits(table)
    if isinstance(edits_result, Failure):
        return _report_findings(session, edits_result.failure())
    edits = edits_result.unwrap()
    if not edits:
        _print_line(session, 'nothing to change')
        return 0
    _print_line(session, table_text.describe_edits(edits, table.rows))
    if session.args.dry_run:
        return 0
    if not _is_confirmed(session):
        _print_line(session, 'nothing saved')
        return EXIT_FAILED
    return _save_all(session, table, edits)


def _save_all(session: Session, table: Table, edits: Sequence[RowEdit]) -> int:
    for start in range(0, len(edits), MAX_EDITS):
        batch = tuple(edits[start : start + MAX_EDITS])
        record = EditRecord(
            str(uuid.uuid4()), table.offset, batch, session.by, _utc_now()
        )
        result = table_writer.save(
            session.log,
            table,
            record,
            session.timeout_s,
            time.monotonic,
            time.sleep,
        )
        if isinstance(result, Failure):
            _explain_failure(session, result.failure())
            if start:
                _print_error(session, f'the first {start} edits are saved')
            return EXIT_FAILED
        saved = result.unwrap()
        table = saved.table
        _print_line(
            session, f'accepted at offset {saved.offset}: {len(batch)} rows'
        )
    return 0


def _explain_failure(session: Session, failure: table_writer.NotSaved) -> None:
    if isinstance(failure, table_writer.NotAppended):
        _print_error(session, f'nothing saved: the log said {failure.error!r}')
    elif isinstance(failure, table_writer.NotReadBack):
        _print_error(
            session,
            f'it is not known whether this was saved ({failure.error}); '
            f"look for it with 'table history' before you repeat it",
        )
    elif isinstance(failure.verdict, reducer.Conflict):
        present = table_text.describe_row(
            failure.verdict.key, failure.verdict.present
        )
        _print_error(
            session,
            f'nothing saved: {reducer.describe(failure.verdict)}\n'
            f'the present row: {present}',
        )
    else:
        _print_error(
            session, f'nothing saved: {reducer.describe(failure.verdict)}'
        )


def _is_confirmed(session: Session) -> bool:
    if session.args.yes or not session.console.stdin.isatty():
        return True
    session.console.stdout.write('Save? [y/N] ')
    session.console.stdout.flush()
    answer = session.console.stdin.readline()
    return answer.strip().lower() in ('y', 'yes')


def _load(session: Session) -> Table | None:
    for _number in range(MAX_LOAD_ATTEMPTS):
        loading = table_log.load(session.log)
        if not isinstance(loading, Failure):
            break
        time.sleep(LOAD_RETRY_S)
    if isinstance(loading, Failure):
        _print_error(session, f'no table: the log said {loading.failure()!r}')
        return None
    return loading.unwrap().table


def _read_file(session: Session, name: str) -> bytes:
    if name == STDIN:
        return session.console.stdin.read().encode()
    return pathlib.Path(name).read_bytes()


def _utc_now() -> str:
    now = datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec='seconds')


def _report_findings(session: Session, found: Sequence[Finding]) -> int:
    _print_error(session, findings.render_all(found))
    return EXIT_BAD_INPUT


def _print_line(session: Session, text: str) -> None:
    print(text, file=session.console.stdout)


def _print_error(session: Session, text: str) -> None:
    print(text, file=session.console.stderr)


_COMMANDS: dict[str, Callable[[Session], int]] = {
    'list': _list,
    'set': _set,
    'remove': _remove,
    'import': _import,
    'export': _export,
    'history': _history,
}
