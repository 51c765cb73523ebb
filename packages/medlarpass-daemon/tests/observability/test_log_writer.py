"""Guards against a log that blocks the process, drops lines silently or writes invalid lines."""

from __future__ import annotations

import errno
import json
import os
import subprocess
import sys
import time

import pytest

from medlarpass import Event
from medlarpass_daemon.observability import log_writer
from medlarpass_daemon.observability.log_writer import LogWriter

SAMPLE = Event(999_999, "sample")


@pytest.fixture
def path(tmp_path):
    return tmp_path / "log.jsonl"


def lines_of(path):
    return [json.loads(line) for line in path.read_text().splitlines() if line]


def test_event_is_one_json_object_a_line(path) -> None:
    writer = LogWriter(str(path))
    writer.start()
    SAMPLE.log(text="a\nb", file=path)
    writer.close()
    (line,) = [line for line in lines_of(path) if line["event"] == 999_999]
    assert line["message_type"] == "medlarpass:sample"
    assert (line["text"], line["file"]) == ("a\nb", str(path))
    assert "timestamp" in line


def test_lines_are_appended_to_an_old_log(path) -> None:
    path.write_text('{"event":1}\n')
    writer = LogWriter(str(path))
    writer.start()
    writer({"event": 2})
    writer.close()
    assert [line["event"] for line in lines_of(path)][:2] == [1, 2]


def test_line_is_in_the_file_without_a_close(path) -> None:
    writer = LogWriter(str(path))
    writer.start()
    writer({"event": 5})
    deadline = time.monotonic() + 20
    while not path.read_bytes().count(b"\n") and time.monotonic() < deadline:
        time.sleep(0.005)
    assert path.read_bytes().endswith(b'"event":5}\n')
    writer.close()


def test_full_disk_drops_lines_counts_them_and_recovers(path, monkeypatch) -> None:
    real_write = os.write
    is_full = [True]
    is_first_write = [True]

    def write(descriptor, data):
        if not is_full[0]:
            return real_write(descriptor, data)
        if is_first_write[0]:
            is_first_write[0] = False
            return real_write(descriptor, bytes(data)[:4])
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(log_writer.os, "write", write)
    dropped = []
    writer = LogWriter(str(path), dropped.append)
    for number in range(3):
        writer._write_line(json.dumps({"event": number}).encode() + b"\n")
    assert (writer.dropped_count, dropped) == (3, [1, 1, 1])
    is_full[0] = False
    writer._write_line(b'{"event":3}\n')
    writer._write_line(b'{"event":4}\n')
    os.close(writer.descriptor)
    partial_line, *complete_lines = path.read_text().splitlines()
    assert partial_line == '{"ev'
    documents = [json.loads(line) for line in complete_lines]
    assert [document["event"] for document in documents] == [3, 723, 4]
    assert documents[1]["lines"] == 3


def test_process_survives_a_device_that_is_always_full() -> None:
    writer = LogWriter("/dev/full")
    writer.start()
    for number in range(100):
        writer({"event": number})
    writer.close()
    assert writer.dropped_count >= 100


def test_caller_does_not_wait_for_a_blocked_reader(monkeypatch) -> None:
    monkeypatch.setattr(log_writer, "MAX_QUEUED_LINE_COUNT", 50)
    monkeypatch.setattr(log_writer, "CLOSE_TIMEOUT_SECONDS", 0.2)
    pipe_reader, pipe_writer = os.pipe()
    writer = LogWriter("/dev/null")
    os.close(writer.descriptor)
    writer.descriptor = pipe_writer
    writer.start()
    # More than the pipe buffer holds and nothing reads it: a write on the event loop would block.
    for _ in range(500):
        writer({"event": 1, "text": "x" * 10_000})
    assert writer.dropped_count > 0
    os.close(pipe_reader)
    writer.close()
    writer.thread.join(20)
    assert not writer.thread.is_alive()


def test_file_that_can_not_be_opened_is_an_error(tmp_path) -> None:
    with pytest.raises(OSError):
        LogWriter(str(tmp_path / "none" / "log"))


def test_standard_output_is_used_for_a_dash() -> None:
    program = (
        "from medlarpass import Event\n"
        "from medlarpass_daemon.observability import LogWriter\n"
        "writer = LogWriter('-')\n"
        "writer.start()\n"
        "Event(1, 'sample').log(a=1)\n"
        "writer.close()\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert completed.returncode == 0, completed.stderr
    assert json.loads(completed.stdout)["a"] == 1
