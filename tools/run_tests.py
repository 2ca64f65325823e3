"""Run all tests of the workspace and end with a summary line.

Test classes are distributed over a few worker processes, always in the same
way; Hypothesis draws examples from fixed seeds. Classes with `runs_alone` are
run after all others, in one more worker. Tests named in KNOWN-RED.txt
run too; their failures are printed but do not fail the run, so that a known
fault stays visible without hiding a new one.

    tools/run_tests.py                 all tests
    tools/run_tests.py test_links      tests whose id contains a name
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
from collections.abc import Iterable  # noqa: E402
import json  # noqa: E402
import logging  # noqa: E402
import pathlib  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from typing import NamedTuple  # noqa: E402
import unittest  # noqa: E402

import hypothesis  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_KNOWN_RED = 3

# Enough to keep the run under two minutes; few enough that processes under
# test are not starved of processor time on a machine with four cores.
WORKERS = 3
# The number of the worker whose tests bear no other load.
ALONE = WORKERS


class Report(NamedTuple):
    """Results of one worker; times in seconds."""

    ran: int
    failing: list[str]
    slowest: list[tuple[float, str]]


def main() -> int:
    """Run the chosen tests in workers; return 1 on new failures."""
    args = _parse()
    if args.worker is not None:
        _run_worker(args.worker, args.report, args.names)
        return 0
    reports = _run_workers(range(WORKERS), args.names)
    reports += _run_workers([ALONE], args.names)
    return _summarize(reports, _known_red())


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', help='parts of test ids')
    parser.add_argument('--worker', type=int, help=argparse.SUPPRESS)
    parser.add_argument('--report', help=argparse.SUPPRESS)
    return parser.parse_args()


def _run_workers(
    numbers: Iterable[int], names: list[str]
) -> list[Report | None]:
    with tempfile.TemporaryDirectory() as folder:
        paths = {n: pathlib.Path(folder, str(n)) for n in numbers}
        children = [
            subprocess.Popen(
                [
                    sys.executable,
                    __file__,
                    f'--worker={number}',
                    f'--report={path}',
                    *names,
                ],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            for number, path in paths.items()
        ]
        for child in children:
            output, _ = child.communicate()
            print(output, end='')
        return [_read_report(path) for path in paths.values()]


def _read_report(path: pathlib.Path) -> Report | None:
    if not path.exists():
        return None
    found = json.loads(path.read_text())
    return Report(found['ran'], found['failing'], found['slowest'])


def _summarize(reports: list[Report | None], known: set[str]) -> int:
    complete = [report for report in reports if report is not None]
    died = len(reports) - len(complete)
    if died:
        print(f'{died} of {len(reports)} workers ended without a report')
    slowest = sorted((s for r in complete for s in r.slowest), reverse=True)
    for seconds, test_id in slowest[:5]:
        print(f'{seconds:6.1f} s  {test_id}')
    failing = {test_id for report in complete for test_id in report.failing}
    for test_id in sorted(failing & known):
        print(f'known red: {test_id}')
    for test_id in sorted(known - failing):
        print(f'known red passes now: {test_id}')
    new = failing - known
    for test_id in sorted(new):
        print(f'failed: {test_id}')
    ran = sum(report.ran for report in complete)
    print(f'{ran - len(failing)} passed, {len(new) + died} failed')
    return 1 if new or died or not ran else 0


def _run_worker(worker: int, report: str, names: list[str]) -> None:
    logging.disable(logging.CRITICAL)
    hypothesis.settings.register_profile(
        'fixed', derandomize=True, deadline=None
    )
    hypothesis.settings.load_profile('fixed')
    classes: dict[str, list[unittest.TestCase]] = {}
    for test in _all_tests():
        is_alone = getattr(test, 'runs_alone', False)
        is_chosen = not names or any(name in test.id() for name in names)
        if is_chosen and is_alone == (worker == ALONE):
            classes.setdefault(test.id().rpartition('.')[0], []).append(test)
    suite = unittest.TestSuite(
        test
        for number, name in enumerate(sorted(classes))
        if worker == ALONE or number % WORKERS == worker
        for test in classes[name]
    )
    result = unittest.TextTestRunner(
        stream=sys.stdout, resultclass=_TimedResult
    ).run(suite)
    unsuccessful = [*result.failures, *result.errors]
    found = Report(
        result.testsRun,
        sorted({_id_of(test) for test, _text in unsuccessful}),
        sorted(result.times, reverse=True)[:5],
    )
    pathlib.Path(report).write_text(json.dumps(found._asdict()))


def _id_of(test: unittest.TestCase) -> str:
    # A failed subtest is listed as an object that refers to its test.
    return getattr(test, 'test_case', test).id()


class _TimedResult(unittest.TextTestResult):
    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.times: list[tuple[float, str]] = []
        self._started = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self._started = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self.times.append((time.monotonic() - self._started, test.id()))
        super().stopTest(test)


def _all_tests() -> list[unittest.TestCase]:
    found: list[unittest.TestCase] = []
    folders = [*ROOT.glob('packages/*/tests'), ROOT / 'platform' / 'tests']
    for folder in sorted(folders):
        loader = unittest.TestLoader()
        suite = loader.discover(str(folder), top_level_dir=str(folder.parent))
        found.extend(_flatten(suite))
        _forget_tests_package()
    return found


def _forget_tests_package() -> None:
    # Each package has a folder named tests; unittest would use the first
    # one imported for all of them.
    for name in list(sys.modules):
        if name == 'tests' or name.startswith('tests.'):
            del sys.modules[name]


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    found: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            found.extend(_flatten(item))
        else:
            found.append(item)
    return found


def _known_red() -> set[str]:
    path = ROOT / 'KNOWN-RED.txt'
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    known = {line.split()[0] for line in lines if line.strip()}
    if len(known) > MAX_KNOWN_RED:
        raise SystemExit(
            f'KNOWN-RED.txt names {len(known)} tests; at most '
            f'{MAX_KNOWN_RED} are allowed'
        )
    return known


if __name__ == '__main__':
    sys.exit(main())
