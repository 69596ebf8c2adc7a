"""The smaller parts: hung nodes, active checks' budget, the kept file, the file of nodes, credentials."""

from __future__ import annotations

import os
from itertools import islice

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.interface import ServerEntry, ServerUnresponsive
from covetally.membership import keep
from covetally.membership.file import File, FileError, read_nodes
from covetally.membership.http import credentials
from covetally.membership.hung import FAILED_CHECKS, SILENT, SPAN_NS, Hung, schedule
from covetally.membership.model import LEAVING, Member
from covetally.membership.platform import Platform
from covetally.net.server_list import ListUpdate
from covetally.operator import files
from covetally.operator.url import split_url
from tests.membership.standin import run
from tests.support import MS, BalancerHarness, settings

MEMBERS = [Member("n1", ("10.0.0.1", 80), LEAVING, "drain", "a", "k", 3, 0.5, 1, 2, 3, 4)]


def test_time_outs_in_a_row_over_a_while_make_a_suspect_and_any_answer_ends_it():
    hung = Hung()
    assert [hung.timed_out(0, "n1") for _ in range(SILENT + 2)] == [False] * (SILENT + 2), "all at one moment"
    assert hung.silent(9) == {}
    assert hung.timed_out(SPAN_NS, "n1") and hung.silent(SPAN_NS + 5) == {"n1": SPAN_NS + 5}
    assert hung.timed_out(SPAN_NS, "n1"), "told again: it may have come back by a trial"
    hung.answered("n1")
    assert hung.silent(SPAN_NS) == {} and not hung.timed_out(2 * SPAN_NS, "n1")
    for _ in range(FAILED_CHECKS - 1):
        assert not hung.checked(0, "n2", False)
    assert hung.checked(0, "n2", False)
    hung.forget(["n1"])
    assert hung.silent(1) == {}
    assert not hung.checked(0, "n2", True) and not hung.checked(0, "n2", False)


def test_the_balancer_takes_a_suspect_out_and_brings_it_back_by_a_trial():
    harness = BalancerHarness(servers=4)
    harness.feed(ServerUnresponsive("s1"))
    belief = {b.server: b for b in harness.balancer.server_statuses(harness.now)}
    assert belief["s1"].steps == 0 and belief["s1"].reason == "in backoff" and belief["s0"].steps == 1
    harness.feed(ServerUnresponsive("s2"))
    harness.feed(ServerUnresponsive("s3"))
    harness.feed(ServerUnresponsive("nobody"))
    ks = [b.steps for b in harness.balancer.server_statuses(harness.now)]
    assert ks.count(0) == 2, "half of the servers stay, whatever is told"


@given(st.integers(1, 80), st.integers(1, 200), st.floats(0.01, 50), st.integers(0, 199))
def test_checks_of_one_node_by_all_sidecars_keep_to_their_rate(nodes, replicas, per_node, index):
    names = [f"n{i}" for i in range(nodes)]
    turns = list(islice(schedule(names, replicas, per_node, index), 3 * nodes + 1))
    first_round = sum(wait for wait, _ in turns[1 : nodes + 1])
    assert first_round == pytest.approx(replicas / per_node)
    assert [name for _, name in turns[:nodes]] == names
    assert 0 <= turns[0][0] <= replicas / per_node / nodes


def test_no_checks_without_nodes():
    assert list(schedule([], 3, 1.0, 0)) == []


def test_the_kept_file_holds_all_and_refuses_what_is_damaged(tmp_path):
    path = tmp_path / "roster"
    assert keep.read(path) == ([], "")
    data = keep.encode(MEMBERS, "r7")
    files.replace(path, data)
    assert keep.read(path) == (MEMBERS, "r7")
    for at in range(len(data)):  # a write cut off anywhere, where a rename was not whole
        path.write_bytes(data[:at])
        if at:
            with pytest.raises(ValueError):
                keep.read(path)
    flipped = bytearray(data)
    flipped[-5] ^= 1
    with pytest.raises(ValueError, match="checksum"):
        keep.decode(bytes(flipped))
    with pytest.raises(ValueError, match="format 9"):
        keep.decode(data.replace(b'"format": 1', b'"format": 9'))
    with pytest.raises(ValueError):
        keep.read(tmp_path)
    assert [p.name for p in tmp_path.iterdir()] == ["roster"]


NODE = '[[node]]\nid = "n1"\naddress = "10.0.0.1:80"\n'


def test_a_file_of_nodes():
    text = NODE + 'state = "leaving"\nzone = "a"\nmachine_type = "m"\ncell = 2\nweight = 2\nstarted_ms = 5\n'
    text += '[[node]]\nid = "n2"\naddress = "[::1]:81"\n'
    found = read_nodes(text)
    assert found["n1"] == Member("n1", ("10.0.0.1", 80), LEAVING, LEAVING, "a", "m", 2, 2.0, boot=5)
    assert found["n2"].address == ("::1", 81) and read_nodes("") == {}


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("[[", "key"), ("x = 1", "x: no such key"), ("node = 3", r"has to be \[\[node\]\]"),
        ("node = [3]", r"node\[0\]: has to be a table"), (NODE + "colour = 1", r"node\[0\].colour: no such key"),
        (NODE + 'cell = "x"', r"node\[0\].cell = 'x'"), (NODE + NODE, "is there twice"),
        ('[[node]]\naddress = "10.0.0.1:80"', r"node\[0\].id: is missing"),
        (NODE + 'state = "odd"', "state = 'odd'"),
        (NODE.replace("10.0.0.1", "name"), "address"), (NODE.replace(":80", ":0"), "address"),
        (NODE + "cell = -1", "must not be below 0"), (NODE + "weight = true", "weight"),
    ],
)  # fmt: skip
def test_a_mistake_in_a_file_of_nodes_is_named(text, names):
    with pytest.raises(FileError, match=names):
        read_nodes(text)


def test_a_file_is_read_again_and_a_bad_one_changes_nothing(tmp_path, caplog):
    async def main():
        path, reads = tmp_path / "nodes.toml", []
        path.write_text(NODE)
        source = File(str(path), reads.append)
        source.start()
        path.write_text(NODE + '[[node]]\nid = "n2"\naddress = "10.0.0.2:80"\n')
        source.look()
        assert sorted(reads[-1].members) == ["n1", "n2"]
        path.write_text("[[")
        source.look()
        source.look()
        assert len(reads) == 2 and "what it said before holds" in caplog.text
        assert source.table()["failing"] and caplog.text.count("nodes.toml") == 1
        os.unlink(path)
        source.look()
        path.write_text(NODE)
        source.look()
        assert sorted(reads[-1].members) == ["n1"] and source.table()["failing"] == ""
        source.stop()

    run(main)


def test_the_platform_s_news_add_up():
    reads = []
    platform = Platform(settings(), None, reads.append)
    one, two = (
        (ServerEntry("s1", zone=1, started_ns=7 * MS), ("10.0.0.1", 80)),
        (ServerEntry("s2"), ("10.0.0.2", 80)),
    )
    platform.learn(ListUpdate(1, False, [one]))
    assert not reads[-1].clean, "the whole list is still to come"
    platform.learn(ListUpdate(2, True, [one, two]))
    found = reads[-1].members["s1"]
    assert reads[-1].clean and found.zone == "b" and found.started_ns == 7 * MS
    platform.learn(ListUpdate(3, False, [(two[0]._replace(lifecycle="draining"), two[1])]))
    assert reads[-1].members["s2"].state == LEAVING
    platform.learn(ListUpdate(4, False, [(one[0]._replace(lifecycle="removed"), one[1])]))
    assert sorted(reads[-1].members) == ["s2"]


def test_credentials_and_addresses(tmp_path):
    path = tmp_path / "eureka"
    path.write_text("user:pass word\nmore\n")
    assert credentials(str(path)) == b"Basic dXNlcjpwYXNzIHdvcmQ="
    path.write_text("user\n")
    with pytest.raises(ValueError):
        credentials(str(path))
    assert str(split_url("http://10.0.0.1:8761/eureka/")) == "http://10.0.0.1:8761/eureka"
    assert str(split_url("http://[::1]/x")) == "http://[::1]:80/x"
    for bad in ("https://10.0.0.1/", "http://name/", "10.0.0.1:80", "http://u:p@10.0.0.1/", "http://10.0.0.1:0/",
                "http://10.0.0.1:99999/", "http://10.0.0.1/?x", "http://10.0.0.1/ä", "http://"):  # fmt: skip
        with pytest.raises(ValueError):
            split_url(bad)
