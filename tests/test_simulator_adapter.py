"""The simulator adapter: protocol transcripts, malformed input, and runs of the real process."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys

import pytest

from covetally import simulator_adapter

ENV = {"classes": [{"name": "a", "onTimeNs": 300_000_000, "hardLimitNs": 1_000_000_000, "repeat": "free"}]}
OPEN_INSTANCE = f"open_instance who=3 prng=7 env={json.dumps(ENV)}\n"
SERVER_LIST = "roster slot=0 nodesList=1\nserver server=10.0.0.1:90 hall=0 model=0 bay=0 lifecycle=up heft=1\n"
LIST_UPDATE = "directory_update who=3 scope=SAVED gen=1 slot=0\n"
REQUEST = "accept who=3 tid=00000000000000aa owner=0 ttlNs=900000000 type=0 bitmap=0\n"


def batch(now: int, *events: str) -> str:
    return f"clock wallNs={now}\n{''.join(events)}eob\n"


def run_adapter(text: str) -> tuple[int, str]:
    sink = io.StringIO()
    return simulator_adapter.Adapter(io.StringIO(text, newline="\n"), sink).run(), sink.getvalue()


def test_a_request_is_submitted_and_its_answer_ends_it():
    served = "response who=3 tid=00000000000000aa how=100 server=10.0.0.1:90 go=0 closed=1 usage=queue:1\n"
    status, reply = run_adapter(
        batch(100, OPEN_INSTANCE, SERVER_LIST, LIST_UPDATE, REQUEST) + "\n" + batch(200, served)
    )
    assert status == 0
    sent = "submit_to who=3 tid=00000000000000aa server=10.0.0.1:90 abandonAtNs=300000100\n"
    assert reply == sent + "next\nnext\n"


def test_empty_batches_get_empty_replies_and_end_of_input_is_clean():
    assert run_adapter(batch(1) + batch(2)) == (0, "next\nnext\n")
    assert run_adapter("") == (0, "")


def test_unknown_events_fields_and_instances_are_ignored():
    unknown_event = "weather who=3 sky=blue\n"
    unknown_instance = REQUEST.replace("who=3", "who=9") + "alarm who=3 tag=5 mood=2\n"
    assert run_adapter(batch(100, OPEN_INSTANCE, unknown_event, unknown_instance, "crash_now who=12\n")) == (
        0,
        "next\n",
    )


def test_a_slot_is_reused_within_one_batch():
    other = SERVER_LIST.replace("10.0.0.1", "10.0.0.2")
    second = OPEN_INSTANCE.replace("who=3", "who=4") + other + LIST_UPDATE.replace("who=3", "who=4")
    calls = REQUEST + REQUEST.replace("who=3", "who=4").replace("aa", "bb")
    _, reply = run_adapter(batch(100, OPEN_INSTANCE, SERVER_LIST, LIST_UPDATE, second, calls))
    assert "who=3 tid=00000000000000aa server=10.0.0.1:90" in reply
    assert "who=4 tid=00000000000000bb server=10.0.0.2:90" in reply


def test_a_crashed_instance_is_removed():
    status, reply = run_adapter(batch(100, OPEN_INSTANCE, SERVER_LIST, LIST_UPDATE, "crash_now who=3\n", REQUEST))
    assert (status, reply) == (0, "next\n")


@pytest.mark.parametrize(
    "text, line, words",
    [
        ("hello\n", 1, "expected a clock line"),
        ("clock wallNs=x\n", 1, "not a whole number"),
        (batch(1, "accept who=3 tid=aa ttlNs\n"), 2, "name=value"),
        (batch(1, OPEN_INSTANCE, "accept who=3 ttlNs=5\n"), 3, "'tid' is missing"),
        (batch(1, "alarm tag=1\n"), 2, "'who' is missing"),
        (batch(1, "roster slot=0 nodesList=2\n", "server server=a:1\n"), 4, "server lines"),
        (batch(1, LIST_UPDATE), 2, "no server list has slot 0"),
        (batch(1, "heard who=3 from=1 blob=xyz\n"), 2, "not hex"),
        (batch(1, "open_instance who=1 prng=1 env={broken\n"), 2, "not valid JSON"),
        (batch(1, "open_instance who=1 prng=1 env={}\n"), 2, "settings.classes"),
        (batch(1, 'open_instance who=1 prng=1 env={"classes": 5}\n'), 2, "settings.classes"),
        (batch(1, OPEN_INSTANCE)[:-4], 2, "ends inside a batch"),
        ("clock wallNs=1", 1, "ends inside a line"),
    ],
)
def test_malformed_input_ends_with_a_one_line_message(text, line, words, capsys):
    status, reply = run_adapter(text)
    message = capsys.readouterr().err
    assert status == 2
    assert reply == ""
    assert message.startswith(f"line {line}: ")
    assert words in message
    assert message.count("\n") == 1


def test_an_exception_in_an_instance_is_reported_as_a_fault(monkeypatch, capsys):
    def broken(self, now, event):
        raise RuntimeError("lost\ncount")

    monkeypatch.setattr(simulator_adapter.Balancer, "handle", broken)
    status, reply = run_adapter(batch(100, OPEN_INSTANCE, SERVER_LIST, LIST_UPDATE))
    assert (status, reply) == (0, "give_in who=3 line=RuntimeError: lost count\nnext\n")
    assert "Traceback" in capsys.readouterr().err


@pytest.mark.parametrize("seed", ["0", "77"])
def test_replies_do_not_depend_on_the_hash_seed(seed):
    rows = "".join(f"server server=10.0.0.{i}:90 hall={i % 2}\n" for i in range(9))
    calls = "".join(REQUEST.replace("aa", f"{i:02x}") for i in range(40))
    text = batch(100, OPEN_INSTANCE, f"roster slot=0 nodesList=9\n{rows}", LIST_UPDATE, calls)
    run = subprocess.run(
        [sys.executable, "-m", "covetally.simulator_adapter"],
        input=text,
        capture_output=True,
        text=True,
        check=True,
        env=os.environ | {"PYTHONHASHSEED": seed},
    )
    assert run.stderr == ""
    assert (0, run.stdout) == run_adapter(text)


def test_invalid_utf8_ends_with_a_one_line_message():
    run = subprocess.run(
        [sys.executable, "-m", "covetally.simulator_adapter"],
        input=b"clock wallNs=1\n\xff\xfe\n",
        capture_output=True,
    )
    assert run.returncode == 2
    assert run.stdout == b""
    assert run.stderr.count(b"\n") == 1


SUBSCRIBING_ENV = json.dumps(ENV | {"discovery": "subscribe"})
FAILED = "directory_update who=3 scope=FAILED gen=0 slot=0\n"


def alarm_delays(reply: str) -> list[str]:
    """The lines that set an alarm for a subscription."""
    return [line for line in reply.splitlines() if line.startswith("defer ")]


def test_an_instance_subscribes_once_after_each_pause():
    """Each failure is followed by one call, whatever was listed in between; a call is priced."""
    start = f"open_instance who=3 prng=7 env={SUBSCRIBING_ENV}\n" + SERVER_LIST + LIST_UPDATE
    alarm = f"alarm who=3 tag={simulator_adapter.SUBSCRIBE_TAG}\n"
    change = LIST_UPDATE.replace("SAVED", "INCREMENTAL")
    _, first = run_adapter(batch(100, start))
    assert len(alarm_delays(first)) == 1 and "subscribe" not in first
    _, reply = run_adapter(batch(100, start) + batch(10**9, alarm) + batch(2 * 10**9, FAILED, FAILED, change))
    assert len(alarm_delays(reply)) == 2 and reply.count("subscribe who=3 want=1\n") == 1
    text = (
        batch(100, start)
        + batch(10**9, alarm)
        + batch(2 * 10**9, FAILED, change)
        + batch(3 * 10**9, alarm, alarm)
    )
    _, reply = run_adapter(text)
    assert reply.count("subscribe who=3 want=1\n") == 2


def test_an_alarm_of_an_instance_that_has_crashed_subscribes_nobody():
    start = f"open_instance who=3 prng=7 env={SUBSCRIBING_ENV}\n" + SERVER_LIST + LIST_UPDATE
    alarm = f"alarm who=3 tag={simulator_adapter.SUBSCRIBE_TAG}\n"
    _, reply = run_adapter(batch(100, start) + batch(200, "crash_now who=3\n") + batch(10**9, alarm))
    assert "subscribe" not in reply
