"""The way from a request's id to its cause."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

from medlarpass_cli.__main__ import main
from medlarpass_cli.request_story import RequestStory
from medlarpass_cli.request_story import parsed_lines

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def event(number: int, time: float, **fields: Any) -> dict[str, Any]:
    """Return a log line."""
    return {"event": number, "timestamp": time, "message_type": f"medlarpass:e{number}", **fields}


MOVING = event(6123, 10.0, pool="p", first=100, last=200, source="s1", target="s2")
OTHER_RANGE = event(6123, 10.1, pool="p", first=300, last=400, source="s3", target="s4")
OTHER_POOL = event(6123, 10.2, pool="q", first=100, last=200, source="s5", target="s6")
ASSIGNED = event(6122, 11.0, term=1, ranges=[[100, 200, "s2", 7]])
ENDED = event(
    4110, 12.0, request_id="r", pool="p", key="150", server=None, code="no_owner", attempts=1
)


def test_a_missing_owner_leads_to_the_move_of_its_range() -> None:
    """Guards against a refusal whose cause only control knows."""
    story = RequestStory("r", [ENDED, ASSIGNED, MOVING, OTHER_RANGE, OTHER_POOL])
    assert story.own == [ENDED]
    assert story.related() == [MOVING, ASSIGNED]
    assert story.cause.startswith("no server held the key")


def test_a_server_leads_to_its_events() -> None:
    """Guards against a lost answer whose server nobody looks up."""
    failing = event(6126, 1.0, server="s1", code="x")
    ended = event(4110, 2.0, request_id="r", pool="p", key=None, server="s1", code="answer_lost")
    later = event(6127, 3.0, server="s1")
    story = RequestStory("r", [failing, ended, later])
    assert story.related() == [failing]


def test_an_unknown_id_is_said_so() -> None:
    """Guards against an empty answer that looks like an error of the program."""
    assert "succeeded at its first server" in RequestStory("x", [ENDED]).cause


def test_torn_lines_are_left_out() -> None:
    """Guards against a log whose last line was cut off by a crash."""
    assert list(parsed_lines(json.dumps(ENDED) + '\n{"event": 41')) == [ENDED]


def test_the_command_prints_the_cause(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a story that operators can't ask for."""
    log = tmp_path / "entry.log"
    log.write_text("\n".join(map(json.dumps, [MOVING, ENDED])))
    assert main(["explain", "r", str(log)]) == 0
    assert "no server held the key" in capsys.readouterr().out
    assert main(["--output", "json", "explain", "r", str(log)]) == 0
    assert json.loads(capsys.readouterr().out)["related"] == [MOVING]
    assert main(["explain", "r", str(tmp_path / "none.log")]) == 2
