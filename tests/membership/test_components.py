"""The smaller parts: unresponsive nodes, rate of active checks, the saved file, the nodes file, credentials."""

from __future__ import annotations

import os
from itertools import islice

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.interface import ServerEntry, ServerUnresponsive
from covetally.membership import persistence
from covetally.membership.file import FileSource, NodeFileError, parse_nodes
from covetally.membership.http import read_credentials
from covetally.membership.unresponsive import (
    MIN_FAILED_CHECKS,
    MIN_SPAN_NS,
    MIN_TIMEOUTS,
    UnresponsiveNodes,
    check_schedule,
)
from covetally.membership.model import LEAVING, Member
from covetally.membership.platform import PlatformSource
from covetally.net.server_list import ListUpdate
from covetally.operator import files
from covetally.operator.url import split_url
from tests.membership.registry_harness import run
from tests.support import MS, BalancerHarness, settings

MEMBERS = [Member("n1", ("10.0.0.1", 80), LEAVING, "drain", "a", "k", 3, 0.5, 1, 2, 3, 4)]


def test_timeouts_in_a_row_make_a_node_unresponsive_until_it_answers():
    detector = UnresponsiveNodes()
    assert [detector.record_timeout(0, "n1") for _ in range(MIN_TIMEOUTS + 2)] == [False] * (MIN_TIMEOUTS + 2), (
        "all at one moment"
    )
    assert detector.unresponsive(9) == {}
    assert detector.record_timeout(MIN_SPAN_NS, "n1") and detector.unresponsive(MIN_SPAN_NS + 5) == {
        "n1": MIN_SPAN_NS + 5
    }
    assert detector.record_timeout(MIN_SPAN_NS, "n1"), "reported again: a probe may have brought it back"
    detector.record_answer("n1")
    assert detector.unresponsive(MIN_SPAN_NS) == {} and not detector.record_timeout(2 * MIN_SPAN_NS, "n1")
    for _ in range(MIN_FAILED_CHECKS - 1):
        assert not detector.record_check(0, "n2", False)
    assert detector.record_check(0, "n2", False)
    detector.retain(["n1"])
    assert detector.unresponsive(1) == {}
    assert not detector.record_check(0, "n2", True) and not detector.record_check(0, "n2", False)


def test_the_balancer_backs_off_from_unresponsive_servers_but_keeps_half():
    harness = BalancerHarness(servers=4)
    harness.feed(ServerUnresponsive("s1"))
    statuses = {s.server: s for s in harness.balancer.server_statuses(harness.now)}
    assert statuses["s1"].steps == 0 and statuses["s1"].reason == "in backoff" and statuses["s0"].steps == 1
    harness.feed(ServerUnresponsive("s2"))
    harness.feed(ServerUnresponsive("s3"))
    harness.feed(ServerUnresponsive("nobody"))
    steps = [s.steps for s in harness.balancer.server_statuses(harness.now)]
    assert steps.count(0) == 2, "half of the servers stay, whatever is reported"


@given(st.integers(1, 80), st.integers(1, 200), st.floats(0.01, 50), st.integers(0, 199))
def test_active_checks_of_a_node_by_all_sidecars_keep_their_rate(nodes, replicas, per_node, index):
    names = [f"n{i}" for i in range(nodes)]
    checks = list(islice(check_schedule(names, replicas, per_node, index), 3 * nodes + 1))
    first_round = sum(wait for wait, _ in checks[1 : nodes + 1])
    assert first_round == pytest.approx(replicas / per_node)
    assert [name for _, name in checks[:nodes]] == names
    assert 0 <= checks[0][0] <= replicas / per_node / nodes


def test_no_active_checks_without_nodes():
    assert list(check_schedule([], 3, 1.0, 0)) == []


def test_the_saved_file_preserves_nodes_and_is_rejected_if_damaged(tmp_path):
    path = tmp_path / "roster"
    assert persistence.load(path) == ([], "")
    data = persistence.encode(MEMBERS, "r7")
    files.replace(path, data)
    assert persistence.load(path) == (MEMBERS, "r7")
    for at in range(len(data)):  # a write that was truncated at any byte
        path.write_bytes(data[:at])
        if at:
            with pytest.raises(ValueError):
                persistence.load(path)
    flipped = bytearray(data)
    flipped[-5] ^= 1
    with pytest.raises(ValueError, match="checksum"):
        persistence.decode(bytes(flipped))
    with pytest.raises(ValueError, match="format 9"):
        persistence.decode(data.replace(b'"format": 1', b'"format": 9'))
    with pytest.raises(ValueError):
        persistence.load(tmp_path)
    assert [p.name for p in tmp_path.iterdir()] == ["roster"]


NODE = '[[node]]\nid = "n1"\naddress = "10.0.0.1:80"\n'


def test_a_nodes_file_is_parsed():
    text = NODE + 'state = "leaving"\nzone = "a"\nmachine_type = "m"\ncell = 2\nweight = 2\nstarted_ms = 5\n'
    text += '[[node]]\nid = "n2"\naddress = "[::1]:81"\n'
    found = parse_nodes(text)
    assert found["n1"] == Member("n1", ("10.0.0.1", 80), LEAVING, LEAVING, "a", "m", 2, 2.0, boot=5)
    assert found["n2"].address == ("::1", 81) and parse_nodes("") == {}


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("[[", "key"), ("x = 1", "x: no such key"), ("node = 3", r"must be \[\[node\]\]"),
        ("node = [3]", r"node\[0\]: must be a table"), (NODE + "colour = 1", r"node\[0\].colour: no such key"),
        (NODE + 'cell = "x"', r"node\[0\].cell = 'x'"), (NODE + NODE, "is listed twice"),
        ('[[node]]\naddress = "10.0.0.1:80"', r"node\[0\].id: is missing"),
        (NODE + 'state = "odd"', "state = 'odd'"),
        (NODE.replace("10.0.0.1", "name"), "address"), (NODE.replace(":80", ":0"), "address"),
        (NODE + "cell = -1", "must not be below 0"), (NODE + "weight = true", "weight"),
    ],
)  # fmt: skip
def test_an_error_in_a_nodes_file_names_its_key(text, names):
    with pytest.raises(NodeFileError, match=names):
        parse_nodes(text)


def test_a_changed_nodes_file_is_reloaded_and_an_invalid_one_changes_nothing(tmp_path, caplog):
    async def main():
        path, snapshots = tmp_path / "nodes.toml", []
        path.write_text(NODE)
        source = FileSource(str(path), snapshots.append)
        source.start()
        path.write_text(NODE + '[[node]]\nid = "n2"\naddress = "10.0.0.2:80"\n')
        source.poll()
        assert sorted(snapshots[-1].members) == ["n1", "n2"]
        path.write_text("[[")
        source.poll()
        source.poll()
        assert len(snapshots) == 2 and "the previous list stays in use" in caplog.text
        assert source.table()["failing"] and caplog.text.count("nodes.toml") == 1
        os.unlink(path)
        source.poll()
        path.write_text(NODE)
        source.poll()
        assert sorted(snapshots[-1].members) == ["n1"] and source.table()["failing"] == ""
        source.stop()

    run(main)


def test_platform_updates_are_combined_into_a_list():
    snapshots = []
    platform = PlatformSource(settings(), None, snapshots.append)
    one, two = (
        (ServerEntry("s1", zone=1, started_ns=7 * MS), ("10.0.0.1", 80)),
        (ServerEntry("s2"), ("10.0.0.2", 80)),
    )
    platform.apply_update(ListUpdate(1, False, [one]))
    assert not snapshots[-1].complete, "the full list has not arrived yet"
    platform.apply_update(ListUpdate(2, True, [one, two]))
    found = snapshots[-1].members["s1"]
    assert snapshots[-1].complete and found.zone == "b" and found.started_ns == 7 * MS
    platform.apply_update(ListUpdate(3, False, [(two[0]._replace(lifecycle="draining"), two[1])]))
    assert snapshots[-1].members["s2"].state == LEAVING
    platform.apply_update(ListUpdate(4, False, [(one[0]._replace(lifecycle="removed"), one[1])]))
    assert sorted(snapshots[-1].members) == ["s2"]


def test_credentials_and_urls_are_parsed(tmp_path):
    path = tmp_path / "eureka"
    path.write_text("user:pass word\nmore\n")
    assert read_credentials(str(path)) == b"Basic dXNlcjpwYXNzIHdvcmQ="
    path.write_text("user\n")
    with pytest.raises(ValueError):
        read_credentials(str(path))
    assert str(split_url("http://10.0.0.1:8761/eureka/")) == "http://10.0.0.1:8761/eureka"
    assert str(split_url("http://[::1]/x")) == "http://[::1]:80/x"
    for invalid in ("https://10.0.0.1/", "http://name/", "10.0.0.1:80", "http://u:p@10.0.0.1/", "http://10.0.0.1:0/",
                "http://10.0.0.1:99999/", "http://10.0.0.1/?x", "http://10.0.0.1/ä", "http://"):  # fmt: skip
        with pytest.raises(ValueError):
            split_url(invalid)
