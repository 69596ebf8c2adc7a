"""The agent's components without processes: selectors, documents, store, audit log, tokens, restart policy."""

from __future__ import annotations

import os
import sqlite3
import subprocess
import sys
import textwrap

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from covetally.fleet import audit, document, supervisor, tokens
from covetally.fleet.api import plan_from
from covetally.fleet.document import Document
from covetally.fleet.restart_policy import RestartPolicy
from covetally.fleet.registry import valid_counts, valid_labels
from covetally.fleet.rollout import Plan
from covetally.fleet.selector import Selector, SelectorError, parse
from covetally.fleet.store import Revision, RolloutRow, Store, StoreError

# --- selectors ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "text, name, labels, expected",
    [
        ("", "a0", {}, True),
        ("zone=a", "x", {"zone": "a"}, True),
        ("zone=a", "x", {}, False),
        ("zone=a|b,name=x*", "x9", {"zone": "b"}, True),
        ("zone=a|b,name=x*", "y9", {"zone": "b"}, False),
        ("name=a[12]", "a3", {}, False),
    ],
)
def test_a_selector_matches_by_name_and_labels(text, name, labels, expected):
    assert parse(text).matches(name, labels) is expected


@pytest.mark.parametrize("text", ["zone", "=a", "zone=", "zone=a,zone=b", "z one=a", "x" * 20_000])
def test_an_invalid_selector_is_rejected(text):
    with pytest.raises(SelectorError):
        parse(text)


PATTERNS = st.sampled_from(["a", "b", "c", "a*", "?"])
SELECTORS = st.dictionaries(st.sampled_from(["zone", "name", "tier"]), st.lists(PATTERNS, min_size=1, max_size=3))


@profile(max_examples=300, derandomize=True, deadline=None, database=None)
@given(SELECTORS, SELECTORS, st.sampled_from("abc"), st.dictionaries(st.sampled_from(["zone", "tier"]),
                                                                     st.sampled_from("abc")))  # fmt: skip
def test_two_selectors_that_match_the_same_instance_overlap(one, other, name, labels):
    first, second = (parse(",".join(f"{k}={'|'.join(v)}" for k, v in x.items())) for x in (one, other))
    assert parse(str(first)) == first
    if first.matches(name, labels) and second.matches(name, labels):
        assert first.overlaps(second) and second.overlaps(first)


def test_selectors_that_cannot_match_the_same_instance_do_not_overlap():
    assert not parse("zone=a").overlaps(parse("zone=b,name=x"))
    assert not parse("name=a*").overlaps(parse("name=b1|c2"))
    assert parse("zone=a").overlaps(parse("tier=x")), "an instance may have both labels"


# --- documents ------------------------------------------------------------------------------------


def test_layers_keep_their_order_and_each_setting_has_an_origin():
    made = Document().with_layer(parse("zone=a"), {"x": 1, "y": 1}).with_layer(Selector(), {"x": 0, "z": 0})
    assert [str(x.selector) for x in made.layers] == ["", "zone=a"]
    assert made.effective("n", {"zone": "a"}) == {"x": 1, "y": 1, "z": 0}
    assert made.effective("n", {}) == {"x": 0, "z": 0}
    assert made.origins("n", {"zone": "a"}) == {"x": "zone=a", "y": "zone=a", "z": ""}
    assert document.from_dicts(made.as_dicts()) == made
    assert made.with_layer(parse("zone=a"), {}) == Document().with_layer(Selector(), {"x": 0, "z": 0})


def test_the_difference_lists_every_changed_key():
    old = Document().with_layer(Selector(), {"x": 0, "y": 1})
    new = old.with_layer(Selector(), {"x": 2, "y": 1}).with_layer(parse("zone=a"), {"q": 5})
    assert document.difference(old, new) == [
        {"selector": "", "key": "x", "old": 0, "new": 2},
        {"selector": "zone=a", "key": "q", "old": None, "new": 5},
    ]


# --- store ----------------------------------------------------------------------------------------


def _revision(number: int) -> Revision:
    made = Document().with_layer(Selector(), {"limits.max_attempts": number})
    return Revision(number, number - 1, 1.5, "ann", "why", "", made.digest(), made)


def test_the_store_returns_what_was_saved(tmp_path):
    store = Store(tmp_path / "db")
    assert store.new and store.head().number == 0
    row = RolloutRow(1, 1, 0, "zone=a", "ann", "why", 2.5, {"phase": "running"}, False)
    with store.transaction():
        store.add_revision(_revision(1))
        store.save_rollout(row, {"i1": {"name": "i1"}, "i0": {"name": "i0"}})
        store.save_instances({"i0": {"digest": "d"}})
        store.save_process("i0", 12, 34)
        store.set("settled", "1")
    store.close()
    store = Store(tmp_path / "db")
    assert not store.new
    assert store.head() == store.revision(1) == _revision(1)
    assert store.rollout(1) == row and store.rollouts(open_only=True) == [row]
    assert [m["name"] for m in store.members(1)] == ["i0", "i1"]
    assert store.instances() == {"i0": {"digest": "d"}}
    assert store.processes() == {"i0": (12, 34)}
    assert store.next_rollout() == 2 and store.get("settled") == "1"


def test_a_transaction_is_atomic_even_if_the_process_is_killed_in_it(tmp_path):
    code = textwrap.dedent("""
        import os, signal, sys
        from pathlib import Path
        from tests.fleet.test_parts import _revision
        from covetally.fleet.store import Store
        store = Store(Path(sys.argv[1]))
        with store.transaction():
            store.add_revision(_revision(1))
        with store.transaction():
            store.add_revision(_revision(2))
            store.set("settled", "2")
            os.kill(os.getpid(), signal.SIGKILL)
    """)
    done = subprocess.run([sys.executable, "-c", code, str(tmp_path / "db")], check=False)
    assert done.returncode == -9
    store = Store(tmp_path / "db")
    assert store.head().number == 1 and store.get("settled", "0") == "0"
    with pytest.raises(ZeroDivisionError), store.transaction():
        store.add_revision(_revision(2))
        raise ZeroDivisionError
    assert store.head().number == 1


def test_an_unreadable_store_raises_an_error_that_names_the_file(tmp_path):
    (tmp_path / "bad").write_bytes(b"not a database at all, but long enough to look at" * 100)
    with pytest.raises(StoreError, match="bad"):
        Store(tmp_path / "bad")
    store = Store(tmp_path / "db")
    store.set("format", "99")
    store.close()
    with pytest.raises(StoreError, match="format 99"):
        Store(tmp_path / "db")
    assert sqlite3.connect(tmp_path / "db").execute("PRAGMA journal_mode").fetchone() == ("wal",)


# --- audit ----------------------------------------------------------------------------------------


def test_the_audit_log_detects_changed_and_removed_lines(tmp_path):
    path = tmp_path / "audit.log"
    log = audit.Audit(path)
    for number in range(3):
        log.write("ann", "change", revision=number)
    log.close()
    log = audit.Audit(path)
    log.write("bob", "undo", revision=9)
    assert audit.verify(path) == []
    assert [e["who"] for e in log.tail(2)] == ["bob", "ann"]
    lines = path.read_text().splitlines()
    path.write_text("\n".join([lines[0], lines[1].replace("ann", "eve"), *lines[2:]]) + "\n")
    assert audit.verify(path) == ["line 3: does not follow from the line before"]
    path.write_text("\n".join([lines[0], *lines[2:]]) + "\n")
    assert audit.verify(path) == ["line 2: does not follow from the line before"]


def test_a_line_cut_off_by_a_crash_is_reported_and_the_log_continues(tmp_path):
    path = tmp_path / "audit.log"
    log = audit.Audit(path)
    log.write("ann", "change")
    log.close()
    path.write_text(path.read_text() + '{"at": 1, "wh')
    log = audit.Audit(path)
    log.write("bob", "change")
    assert audit.verify(path) == ["line 2: cannot be read"]
    assert [e["who"] for e in log.tail(5)] == ["bob", "ann"]


# --- tokens ---------------------------------------------------------------------------------------

SECRET, OTHER = "a" * 20, "b" * 20


def test_tokens_grant_only_their_role_and_are_reloaded(tmp_path):
    path = tmp_path / "tokens"
    path.write_text(f"# who\nann operator {SECRET}\na* instance {OTHER}  # sidecars\n")
    known = tokens.Tokens(path)
    assert known.authenticate(SECRET, ("operator",)).name == "ann"
    assert known.authenticate(SECRET, ("instance",)) is None and known.authenticate("x", ("operator",)) is None
    assert known.admits(OTHER, "a7") and not known.admits(OTHER, "b7") and not known.admits(SECRET, "a7")
    path.write_text(f"bob operator {OTHER}\n")
    os.utime(path, ns=(1, 1))
    assert (
        known.authenticate(SECRET, ("operator",)) is None
        and known.authenticate(OTHER, ("operator",)).name == "bob"
    )
    path.write_text("bob operator")
    assert known.authenticate(OTHER, ("operator",)).name == "bob", "an invalid file changes nothing"
    path.unlink()
    assert known.authenticate(OTHER, ("operator",)).name == "bob"


@pytest.mark.parametrize("text", ["ann operator", f"ann boss {SECRET}", "ann reader short"])
def test_an_error_in_the_tokens_names_its_line(text):
    with pytest.raises(tokens.TokenError, match="line 2"):
        tokens.parse("\n" + text)


# --- restart policy -------------------------------------------------------------------------------


def test_crashes_are_restarted_with_backoff_and_a_crash_loop_is_detected():
    restart_policy, now, backoffs = RestartPolicy(), 100.0, []
    for _ in range(6):
        assert restart_policy.should_start(now)
        restart_policy.record_start(now)
        now += 1.0
        restart_policy.record_exit(now, "status 1")
        backoffs.append(restart_policy.start_at - now)
        now = restart_policy.start_at
    assert backoffs == [1.0, 2.0, 4.0, 8.0, 60.0, 60.0]
    assert restart_policy.crash_looping and restart_policy.last_exit == "status 1"
    restart_policy.record_start(now)
    now += 11.0
    restart_policy.record_exit(now, "status 1")
    assert not restart_policy.crash_looping, "it ran long enough"


def test_a_planned_restart_is_immediate_and_a_stop_is_final():
    restart_policy = RestartPolicy()
    restart_policy.record_start(0.0)
    restart_policy.plan_restart()
    restart_policy.record_exit(0.5, "status 0")
    assert restart_policy.should_start(0.5)
    restart_policy.record_start(0.5)
    restart_policy.stop()
    restart_policy.record_exit(1.0, "status 0")
    assert not restart_policy.should_start(1e9)


# --- external input -------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "text, message",
    [
        ("", "instance"),
        ("[[instance]]\nname = 'a'\n", "command"),
        ("[[instance]]\nname = 'a'\ncommand = ['x']\nstop = 3\n", "no such key: stop"),
        ("[[instance]]\nname = 'a'\ncommand = ['x']\n" * 2, "twice"),
        ("[[instance]]\nname = 'a'\ncommand = ['x']\nstop_s = -1\n", "stop_s"),
        ("x = ", "Invalid"),
    ],
)
def test_an_invalid_supervise_file_is_rejected(tmp_path, text, message):
    (tmp_path / "f").write_text(text)
    with pytest.raises(supervisor.SuperviseError, match=message):
        supervisor.read(tmp_path / "f")


@pytest.mark.parametrize(
    "table, message",
    [
        ({"canary": -1}, "plan.canary"), ({"max_out": 0}, "plan.max_out"), ({"max_out": 2.5}, "plan.max_out"),
        ({"soak_s": "x"}, "plan.soak_s"), ({"shares": [0.5, 0.2]}, "plan.shares"), ({"shares": 3}, "plan.shares"),
        ({"restart": 1}, "plan.restart"), ({"on_trouble": "cry"}, "plan.on_trouble"), ({"x": 1}, "no such key"),
        ({"soak_s": float("nan")}, "plan.soak_s"),
    ],
)  # fmt: skip
def test_an_invalid_plan_names_the_bad_key(table, message):
    with pytest.raises(Exception, match=message):
        plan_from(table, Plan())


def test_invalid_counts_and_labels_of_an_instance_are_dropped():
    assert valid_counts({"a": [1, 2, 3, 4], "b": [1], "c": "x", "d": [1, 2, 3, True]}) == {"a": [1, 2, 3, 4]}
    assert valid_labels({"zone": "a", "x": 3}) == {"zone": "a"}
    assert len(valid_labels({str(i): "x" for i in range(99)})) == 32
