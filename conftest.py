"""Runs the tests that KNOWN-RED.txt lists and reports their failures by name."""

from __future__ import annotations

from pathlib import Path

import pytest

LIST = Path(__file__).resolve().parent / "KNOWN-RED.txt"
ENTRY = "test:"


def known_red(text: str) -> list[str]:
    """Return the node ids that a list names, one on each line that starts with ``test:``."""
    return [
        line.removeprefix(ENTRY).strip() for line in text.splitlines() if line.startswith(ENTRY)
    ]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; a fault that does not always show may let one pass."""
    listed = known_red(LIST.read_text(encoding="utf-8")) if LIST.exists() else []
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests with their results, those that passed included."""
    listed = known_red(LIST.read_text(encoding="utf-8")) if LIST.exists() else []
    if not listed:
        return
    results = {
        report.nodeid: result
        for key, result in (("xfailed", "failed as listed"), ("xpassed", "PASSED: check the entry"))
        for report in terminalreporter.stats.get(key, [])
    }
    terminalreporter.section("KNOWN-RED.txt")
    for test in listed:
        terminalreporter.write_line(f"{test}: {results.get(test, 'not run')}")
