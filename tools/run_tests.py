"""Run every test of the workspace and close with one line of counts.

Tests named in KNOWN-RED.txt are run too; their failures are printed but do
not fail the run, so that a known fault stays in sight without hiding a new
one.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import logging  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import unittest  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_LIMIT = 3


def main(names: list[str]) -> int:
    """Run the tests whose id contains one of the names, or all."""
    logging.disable(logging.CRITICAL)
    suite = unittest.TestSuite(
        test for test in _all_tests() if _chosen(test.id(), names)
    )
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(suite)
    known = _known_red()
    failing = {test.id() for test, _text in [*result.failures, *result.errors]}
    for test_id in sorted(failing & known):
        print(f'known red: {test_id}')
    for test_id in sorted(known - failing):
        print(f'known red passes now: {test_id}')
    new = failing - known
    passed = result.testsRun - len(failing)
    print(f'{passed} passed, {len(new)} failed')
    return 1 if new or result.testsRun == 0 else 0


def _all_tests() -> list[unittest.TestCase]:
    found: list[unittest.TestCase] = []
    for folder in sorted(ROOT.glob('packages/*/tests')):
        loader = unittest.TestLoader()
        suite = loader.discover(str(folder), top_level_dir=str(folder.parent))
        found.extend(_flatten(suite))
        _forget_tests_package()
    return found


def _forget_tests_package() -> None:
    # Each package has a folder named tests; unittest would take the first
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


def _chosen(test_id: str, names: list[str]) -> bool:
    return not names or any(name in test_id for name in names)


def _known_red() -> set[str]:
    path = ROOT / 'KNOWN-RED.txt'
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    known = {line.split()[0] for line in lines if line.strip()}
    if len(known) > KNOWN_RED_LIMIT:
        raise SystemExit(
            f'KNOWN-RED.txt names {len(known)} tests; at most '
            f'{KNOWN_RED_LIMIT} are allowed'
        )
    return known


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
