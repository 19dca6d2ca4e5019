"""Known failures: tests that CI passes over, and prints.

``KNOWN-RED.txt`` lists them by their ids, each at the start of a line.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).resolve().parents[1] / 'KNOWN-RED.txt'
_passed_over = pytest.StashKey[list[str]]()


def _known_red_ids() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    return {
        line.split()[0]
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith('tests/')
    }


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect exactly the tests that are listed as known failures."""
    known = _known_red_ids()
    if config.getoption('--run-known-red'):
        known = set()
    found = [item for item in items if item.nodeid in known]
    config.stash[_passed_over] = [item.nodeid for item in found]
    if found:
        config.hook.pytest_deselected(items=found)
        items[:] = [item for item in items if item.nodeid not in known]


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the options of these tests."""
    parser.addoption(
        '--run-known-red',
        action='store_true',
        help='also run the tests that are listed as known failures',
    )
    parser.addoption(
        '--fleet-seeds',
        default='0+300',
        help='seeds of the model of restarts: FIRST+COUNT',
    )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the tests that were passed over."""
    for test_id in config.stash.get(_passed_over, []):
        terminalreporter.write_line(f'known red, not run: {test_id}')
