"""Guards against a request id that does not lead an operator to the cause of a failure."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

from medlarpass_cli.__main__ import main
from medlarpass_cli.request_explanation import RequestExplanation
from medlarpass_cli.request_explanation import parse_log

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def log_event(number: int, time: float, **fields: Any) -> dict[str, Any]:
    """Return a parsed log line."""
    return {"event": number, "timestamp": time, "message_type": f"medlarpass:e{number}", **fields}


RANGE_MOVING = log_event(6123, 10.0, pool="p", first=100, last=200, source="s1", target="s2")
OTHER_RANGE = log_event(6123, 10.1, pool="p", first=300, last=400, source="s3", target="s4")
OTHER_POOL = log_event(6123, 10.2, pool="q", first=100, last=200, source="s5", target="s6")
RANGES_ASSIGNED = log_event(6122, 11.0, term=1, ranges=[[100, 200, "s2", 7]])
REQUEST_ENDED = log_event(
    4110, 12.0, request_id="r", pool="p", key="150", server=None, code="no_owner", attempts=1
)


def test_a_missing_owner_leads_to_the_move_of_its_range() -> None:
    """Guards against a refusal without its cause, which only the logs of control hold."""
    explanation = RequestExplanation(
        "r", [REQUEST_ENDED, RANGES_ASSIGNED, RANGE_MOVING, OTHER_RANGE, OTHER_POOL]
    )
    assert explanation.request_events == [REQUEST_ENDED]
    assert explanation.related_events() == [RANGE_MOVING, RANGES_ASSIGNED]
    assert explanation.cause.startswith("no server held the key")


def test_a_server_leads_to_its_events() -> None:
    """Guards against a lost response without the earlier failures of its server."""
    failing = log_event(6126, 1.0, server="s1", code="x")
    ended = log_event(
        4110, 2.0, request_id="r", pool="p", key=None, server="s1", code="answer_lost"
    )
    later = log_event(6127, 3.0, server="s1")
    explanation = RequestExplanation("r", [failing, ended, later])
    assert explanation.related_events() == [failing]


def test_an_unknown_id_is_reported() -> None:
    """Guards against empty output, which would look like a fault of the program."""
    assert "succeeded at its first server" in RequestExplanation("x", [REQUEST_ENDED]).cause


def test_incomplete_lines_are_skipped() -> None:
    """Guards against a log whose last line was cut off by a crash."""
    assert list(parse_log(json.dumps(REQUEST_ENDED) + '\n{"event": 41')) == [REQUEST_ENDED]


def test_the_command_prints_the_cause(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against an explanation that the command line does not offer."""
    log = tmp_path / "entry.log"
    log.write_text("\n".join(map(json.dumps, [RANGE_MOVING, REQUEST_ENDED])))
    assert main(["explain", "r", str(log)]) == 0
    assert "no server held the key" in capsys.readouterr().out
    assert main(["--output", "json", "explain", "r", str(log)]) == 0
    assert json.loads(capsys.readouterr().out)["related"] == [RANGE_MOVING]
    assert main(["explain", "r", str(tmp_path / "none.log")]) == 2
