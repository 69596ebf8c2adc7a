"""The decisions on sockets: handshakes, who may open, who closes when, who is gone."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from covetally.net.http_message import Malformed, RequestHead, ResponseHead
from covetally.websocket import handshake
from covetally.websocket.life import CLIENT, NODE, Life, Patience, Verdict
from covetally.websocket.policy import Bounds, Policy

KEY = b"dGhlIHNhbXBsZSBub25jZQ=="  # of RFC 6455, 1.3
ASK = [
    (b"host", b"app"), (b"upgrade", b"websocket"), (b"connection", b"keep-alive, Upgrade"),
    (b"sec-websocket-key", KEY), (b"sec-websocket-version", b"13"),
    (b"sec-websocket-protocol", b"loans, moves"), (b"sec-websocket-extensions", b"permessage-deflate; a=1"),
]  # fmt: skip


def head(*change: tuple[bytes, bytes | None], method: bytes = b"GET") -> RequestHead:
    names = {name for name, _ in change}
    headers = [pair for pair in ASK if pair[0] not in names] + [pair for pair in change if pair[1] is not None]
    return RequestHead(method, b"/live", headers, dict(headers))


def answer(*change: tuple[bytes, bytes | None]) -> ResponseHead:
    base = [(b"upgrade", b"WebSocket"), (b"connection", b"upgrade"),
            (b"sec-websocket-accept", b"s3pPLMBiTxaQ9kYGzzhZRbK+xOo=")]  # fmt: skip
    names = {name for name, _ in change}
    headers = [pair for pair in base if pair[0] not in names] + [pair for pair in change if pair[1] is not None]
    return ResponseHead(101, headers, dict(headers))


def test_a_handshake_of_the_form_goes_on_whole():
    asked, headers = handshake.read(head())
    assert (asked.protocols, asked.extensions) == ((b"loans", b"moves"), (b"permessage-deflate",))
    assert {(b"sec-websocket-key", KEY), (b"connection", b"Upgrade")} <= set(headers)
    assert (b"upgrade", b"websocket") in headers
    assert (b"sec-websocket-extensions", b"permessage-deflate; a=1") in headers
    deflate = (b"sec-websocket-extensions", b"permessage-deflate")
    asked.check(answer((b"sec-websocket-protocol", b"moves"), deflate))


@pytest.mark.parametrize("status,change", [
    (400, (b"connection", b"close")), (400, (b"host", None)), (400, (b"sec-websocket-key", b"short")),
    (400, (b"sec-websocket-key", None)), (426, (b"sec-websocket-version", b"8")),
    (426, (b"sec-websocket-version", None)), (400, (b"content-length", b"3")),
    (400, (b"transfer-encoding", b"chunked")), (400, (b"sec-websocket-protocol", b"a, a")),
    (400, (b"sec-websocket-protocol", b"a b")),
])  # fmt: skip
def test_a_handshake_that_is_none_is_told_so(status, change):
    with pytest.raises(handshake.Refused) as found:
        handshake.read(head(change))
    assert found.value.status == status
    if status == 426:
        assert (b"sec-websocket-version", b"13") in found.value.headers


def test_a_handshake_by_post_or_with_two_keys_is_none():
    with pytest.raises(handshake.Refused):
        handshake.read(head(method=b"POST"))
    with pytest.raises(handshake.Refused):
        handshake.read(head((b"sec-websocket-key", KEY), (b"sec-websocket-key", KEY)))


@pytest.mark.parametrize("change", [
    (b"upgrade", None), (b"connection", b"close"), (b"sec-websocket-accept", b"x"),
    (b"sec-websocket-accept", None), (b"sec-websocket-protocol", b"other"),
    (b"sec-websocket-protocol", b"loans, moves"), (b"sec-websocket-extensions", b"permessage-deflate, x-odd"),
])  # fmt: skip
def test_an_answer_that_was_not_asked_for_is_refused(change):
    asked, _ = handshake.read(head())
    with pytest.raises(Malformed):
        asked.check(answer(change))


# --- policy ---------------------------------------------------------------------------------------


def policy(**changes) -> Policy:
    bounds = {"sockets": 1000, "per_tenant": 1000, "drain_s": 10.0, "back_s": 5.0} | changes
    return Policy(Bounds(**bounds), random.Random(1))


def test_each_limit_refuses_for_its_own_reason():
    one = policy(sockets=3, per_tenant=2)
    assert [one.admit("a"), one.admit("a"), one.admit("a"), one.admit("b"), one.admit("b")] == [
        "", "", "tenant", "", "sockets",
    ]  # fmt: skip
    one.leave_place("a")
    assert one.admit("b") == ""
    one.end(0.0, 3.0)
    assert one.admit("a") == "end"


def test_a_drain_is_paced_over_its_window_and_what_is_left_stays_when_it_is_taken_back():
    one = policy(sockets=3000, per_tenant=3000)
    for id in range(2000):
        assert one.admit("a") == ""
        one.opened(0.0, id, "n1" if id % 2 else "n2", "a")
    one.leave(0.0, "n1", "drain")
    closed = [len(one.due(step / 10)[0]) for step in range(1, 51)]
    assert 450 <= sum(closed) <= 550, sum(closed)
    assert max(closed) <= 40, "no crowd at once"
    one.stay("n1")
    assert one.due(100.0) == ([], 0.0)
    one.leave(100.0, "n1", "drain")
    one.admit("a")
    one.opened(101.0, 5000, "n1", "a")  # its handshake was out when the drain began
    ids = {close.id for close in one.due(110.0)[0]}
    assert 5000 in ids
    assert len(ids) == 1001  # as nobody has ended, all of the node's


STEP = st.tuples(st.sampled_from(("open", "end", "leave", "stay", "move", "due")), st.integers(0, 3))


@given(st.lists(STEP, max_size=60))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_in_any_order_places_are_counted_and_only_what_was_planned_closes(steps):
    one, now, number = policy(sockets=8, per_tenant=5), 0.0, 0
    held: dict[int, str] = {}
    told: set[str] = set()
    for what, which in steps:
        now += 1.0
        node = f"n{which}"
        if what == "open":
            refused = one.admit(f"t{which % 2}")
            assert bool(refused) == (len(held) >= 8 or sum(1 for x in held if x % 2 == which % 2) >= 5)
            if not refused:
                number += 2
                id = number + which % 2  # its parity is its tenant
                held[id] = node
                one.opened(now, id, node, f"t{which % 2}")
        elif what == "end" and held:
            id = sorted(held)[which % len(held)]
            del held[id]
            one.ended(id)
        elif what == "leave":
            one.leave(now, node, "drain")
            told.add(node)
        elif what == "move":
            one.move(now, node)
            told.add(node)
        elif what == "stay":
            one.stay(node)
        else:
            for close in one.due(now)[0]:
                assert held[close.id] in told
    assert sum(one.counts()["tenants"].values()) == len(held)
    one.end(now, 1.0)
    closes = {close.id for close in one.due(now + 1.0)[0]}
    assert closes == set(held), "at the end all are closed in time"


def test_the_balance_moves_one_at_a_time_from_the_fullest_and_rests_when_even():
    one = policy(rebalance_per_s=2.0)
    one.nodes({"n1", "n2"})
    for id in range(20):
        one.admit("a")
        one.opened(0.0, id, "n1", "a")
    moved = []
    for step in range(100):
        for close in one.rebalance(step / 10):
            assert close.why == "rebalance"
            one.ended(close.id)
            one.admit("a")
            one.opened(step / 10, 100 + close.id, "n2", "a")
            moved.append(step)
    assert 5 <= len(moved) <= 10
    assert min(b - a for a, b in zip(moved, moved[1:], strict=False)) >= 5
    assert policy().rebalance(1.0) == []


def test_a_node_is_suspected_when_its_sockets_stall_and_none_is_heard():
    one = policy()
    for id in range(5):
        one.admit("a")
        one.opened(0.0, id, "n1", "a")
    assert [one.stalled(float(at), "n1", False) for at in range(3)] == [False, False, True]
    assert not one.stalled(4.0, "n1", True)
    assert not one.stalled(5.0, "n1", False), "counted anew"


# --- life -----------------------------------------------------------------------------------------


def test_a_silent_side_is_asked_and_then_given_up_and_one_that_speaks_is_not():
    life = Life(Patience(10.0, 4.0, 5.0, 0.0), 0.0, 100.0)
    assert life.look(109.9) == []
    assert life.look(110.0) == [(CLIENT, Verdict.PING), (NODE, Verdict.PING)]
    life.heard(CLIENT, 111.0, False)
    assert life.next(111.0) == 114.0
    assert life.look(114.0) == [(NODE, Verdict.STALLED)]


def test_who_is_not_read_is_not_asked_and_who_takes_nothing_is_slow():
    life = Life(Patience(10.0, 4.0, 5.0, 0.0), 0.0, 0.0)
    life.waits(CLIENT, 1.0, True)
    life.read(NODE, 1.0, False)
    assert life.look(6.0) == [(CLIENT, Verdict.SLOW)]
    life.waits(CLIENT, 6.0, False)
    life.heard(CLIENT, 6.0, False)
    assert life.look(15.0) == []
    life.read(NODE, 15.0, True)
    assert (NODE, Verdict.PING) not in life.look(24.0)
    assert (NODE, Verdict.PING) in life.look(25.0)


def test_idle_counts_messages_and_not_pings():
    life = Life(Patience(10.0, 4.0, 5.0, 30.0), 0.0, 0.0)
    life.heard(CLIENT, 25.0, False)
    life.heard(NODE, 25.0, False)
    assert life.look(30.0) == [(CLIENT, Verdict.IDLE)]
    life.heard(NODE, 30.0, True)
    assert Verdict.IDLE not in [verdict for _, verdict in life.look(59.0)]
