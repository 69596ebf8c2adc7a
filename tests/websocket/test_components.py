"""Tests of the WebSocket parts that do no I/O: handshakes, the connection policy and liveness checks."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from covetally.net.http_message import Malformed, RequestHead, ResponseHead
from covetally.websocket import handshake
from covetally.websocket.liveness import CLIENT, NODE, Liveness, LivenessEvent, LivenessTimeouts
from covetally.websocket.policy import Policy, PolicyConfig

KEY = b"dGhlIHNhbXBsZSBub25jZQ=="  # of RFC 6455, 1.3
REQUEST_HEADERS = [
    (b"host", b"app"), (b"upgrade", b"websocket"), (b"connection", b"keep-alive, Upgrade"),
    (b"sec-websocket-key", KEY), (b"sec-websocket-version", b"13"),
    (b"sec-websocket-protocol", b"loans, moves"), (b"sec-websocket-extensions", b"permessage-deflate; a=1"),
]  # fmt: skip


def request_head(*change: tuple[bytes, bytes | None], method: bytes = b"GET") -> RequestHead:
    names = {name for name, _ in change}
    headers = [pair for pair in REQUEST_HEADERS if pair[0] not in names] + [
        pair for pair in change if pair[1] is not None
    ]
    return RequestHead(method, b"/live", headers, dict(headers))


def response_head(*change: tuple[bytes, bytes | None]) -> ResponseHead:
    base = [(b"upgrade", b"WebSocket"), (b"connection", b"upgrade"),
            (b"sec-websocket-accept", b"s3pPLMBiTxaQ9kYGzzhZRbK+xOo=")]  # fmt: skip
    names = {name for name, _ in change}
    headers = [pair for pair in base if pair[0] not in names] + [pair for pair in change if pair[1] is not None]
    return ResponseHead(101, headers, dict(headers))


def test_a_valid_handshake_is_forwarded_with_all_its_headers():
    parsed, headers = handshake.parse_request(request_head())
    assert (parsed.protocols, parsed.extensions) == ((b"loans", b"moves"), (b"permessage-deflate",))
    assert {(b"sec-websocket-key", KEY), (b"connection", b"Upgrade")} <= set(headers)
    assert (b"upgrade", b"websocket") in headers
    assert (b"sec-websocket-extensions", b"permessage-deflate; a=1") in headers
    deflate = (b"sec-websocket-extensions", b"permessage-deflate")
    parsed.check(response_head((b"sec-websocket-protocol", b"moves"), deflate))


@pytest.mark.parametrize("status,change", [
    (400, (b"connection", b"close")), (400, (b"host", None)), (400, (b"sec-websocket-key", b"short")),
    (400, (b"sec-websocket-key", None)), (426, (b"sec-websocket-version", b"8")),
    (426, (b"sec-websocket-version", None)), (400, (b"content-length", b"3")),
    (400, (b"transfer-encoding", b"chunked")), (400, (b"sec-websocket-protocol", b"a, a")),
    (400, (b"sec-websocket-protocol", b"a b")),
])  # fmt: skip
def test_an_invalid_handshake_is_rejected_with_its_status(status, change):
    with pytest.raises(handshake.HandshakeRejected) as found:
        handshake.parse_request(request_head(change))
    assert found.value.status == status
    if status == 426:
        assert (b"sec-websocket-version", b"13") in found.value.headers


def test_a_handshake_by_post_or_with_two_keys_is_rejected():
    with pytest.raises(handshake.HandshakeRejected):
        handshake.parse_request(request_head(method=b"POST"))
    with pytest.raises(handshake.HandshakeRejected):
        handshake.parse_request(request_head((b"sec-websocket-key", KEY), (b"sec-websocket-key", KEY)))


@pytest.mark.parametrize("change", [
    (b"upgrade", None), (b"connection", b"close"), (b"sec-websocket-accept", b"x"),
    (b"sec-websocket-accept", None), (b"sec-websocket-protocol", b"other"),
    (b"sec-websocket-protocol", b"loans, moves"), (b"sec-websocket-extensions", b"permessage-deflate, x-odd"),
])  # fmt: skip
def test_a_101_that_does_not_answer_the_handshake_is_refused(change):
    parsed, _ = handshake.parse_request(request_head())
    with pytest.raises(Malformed):
        parsed.check(response_head(change))


# --- policy ---------------------------------------------------------------------------------------


def make_policy(**changes) -> Policy:
    config = {"sockets": 1000, "per_tenant": 1000, "drain_s": 10.0, "max_reconnect_delay_s": 5.0} | changes
    return Policy(PolicyConfig(**config), random.Random(1))


def test_each_limit_has_its_own_reason_for_a_refusal():
    policy = make_policy(sockets=3, per_tenant=2)
    assert [policy.admit("a"), policy.admit("a"), policy.admit("a"), policy.admit("b"), policy.admit("b")] == [
        "", "", "tenant", "", "sockets",
    ]  # fmt: skip
    policy.release("a")
    assert policy.admit("b") == ""
    policy.shut_down(0.0, 3.0)
    assert policy.admit("a") == "end"


def test_a_drain_is_spread_over_its_window_and_a_cancelled_drain_keeps_the_rest():
    policy = make_policy(sockets=3000, per_tenant=3000)
    for id in range(2000):
        assert policy.admit("a") == ""
        policy.opened(0.0, id, "n1" if id % 2 else "n2", "a")
    policy.start_drain(0.0, "n1", "drain")
    closed = [len(policy.take_due(step / 10)[0]) for step in range(1, 51)]
    assert 450 <= sum(closed) <= 550, sum(closed)
    assert max(closed) <= 40, "the closes are spread evenly"
    policy.cancel_drain("n1")
    assert policy.take_due(100.0) == ([], 0.0)
    policy.start_drain(100.0, "n1", "drain")
    policy.admit("a")
    policy.opened(101.0, 5000, "n1", "a")  # its handshake was in progress when the drain began
    ids = {close.id for close in policy.take_due(110.0)[0]}
    assert 5000 in ids
    assert len(ids) == 1001  # no socket has ended, so all of the node's are due


STEP = st.tuples(st.sampled_from(("open", "end", "leave", "stay", "move", "due")), st.integers(0, 3))


@given(st.lists(STEP, max_size=60))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_in_any_order_sockets_are_counted_and_only_scheduled_ones_close(steps):
    policy, now, number = make_policy(sockets=8, per_tenant=5), 0.0, 0
    sockets: dict[int, str] = {}
    planned_nodes: set[str] = set()
    for action, which in steps:
        now += 1.0
        node = f"n{which}"
        if action == "open":
            refused = policy.admit(f"t{which % 2}")
            assert bool(refused) == (len(sockets) >= 8 or sum(1 for x in sockets if x % 2 == which % 2) >= 5)
            if not refused:
                number += 2
                id = number + which % 2  # its parity is its tenant
                sockets[id] = node
                policy.opened(now, id, node, f"t{which % 2}")
        elif action == "end" and sockets:
            id = sorted(sockets)[which % len(sockets)]
            del sockets[id]
            policy.ended(id)
        elif action == "leave":
            policy.start_drain(now, node, "drain")
            planned_nodes.add(node)
        elif action == "move":
            policy.move_sockets(now, node)
            planned_nodes.add(node)
        elif action == "stay":
            policy.cancel_drain(node)
        else:
            for close in policy.take_due(now)[0]:
                assert sockets[close.id] in planned_nodes
    assert sum(policy.counts()["tenants"].values()) == len(sockets)
    policy.shut_down(now, 1.0)
    closes = {close.id for close in policy.take_due(now + 1.0)[0]}
    assert closes == set(sockets), "a shutdown closes all sockets in time"


def test_rebalancing_moves_one_socket_at_a_time_and_stops_when_nodes_are_even():
    policy = make_policy(rebalance_per_s=2.0)
    policy.set_available_nodes({"n1", "n2"})
    for id in range(20):
        policy.admit("a")
        policy.opened(0.0, id, "n1", "a")
    moved = []
    for step in range(100):
        for close in policy.rebalance(step / 10):
            assert close.reason == "rebalance"
            policy.ended(close.id)
            policy.admit("a")
            policy.opened(step / 10, 100 + close.id, "n2", "a")
            moved.append(step)
    assert 5 <= len(moved) <= 10
    assert min(b - a for a, b in zip(moved, moved[1:], strict=False)) >= 5
    assert make_policy().rebalance(1.0) == []


def test_a_node_is_reported_when_its_sockets_stall_and_no_other_receives_frames():
    policy = make_policy()
    for id in range(5):
        policy.admit("a")
        policy.opened(0.0, id, "n1", "a")
    assert [policy.record_stall(float(at), "n1", False) for at in range(3)] == [False, False, True]
    assert not policy.record_stall(4.0, "n1", True)
    assert not policy.record_stall(5.0, "n1", False), "the count starts again"


# --- liveness -------------------------------------------------------------------------------------


def test_only_a_side_that_leaves_a_ping_unanswered_is_stalled():
    liveness = Liveness(LivenessTimeouts(10.0, 4.0, 5.0, 0.0), 0.0, 100.0)
    assert liveness.check(109.9) == []
    assert liveness.check(110.0) == [(CLIENT, LivenessEvent.PING), (NODE, LivenessEvent.PING)]
    liveness.record_input(CLIENT, 111.0, False)
    assert liveness.next_check_at(111.0) == 114.0
    assert liveness.check(114.0) == [(NODE, LivenessEvent.STALLED)]


def test_a_paused_side_is_not_pinged_and_a_blocked_side_is_slow():
    liveness = Liveness(LivenessTimeouts(10.0, 4.0, 5.0, 0.0), 0.0, 0.0)
    liveness.record_output(CLIENT, 1.0, True)
    liveness.set_reading(NODE, 1.0, False)
    assert liveness.check(6.0) == [(CLIENT, LivenessEvent.SLOW)]
    liveness.record_output(CLIENT, 6.0, False)
    liveness.record_input(CLIENT, 6.0, False)
    assert liveness.check(15.0) == []
    liveness.set_reading(NODE, 15.0, True)
    assert (NODE, LivenessEvent.PING) not in liveness.check(24.0)
    assert (NODE, LivenessEvent.PING) in liveness.check(25.0)


def test_idle_timeout_counts_messages_and_not_control_frames():
    liveness = Liveness(LivenessTimeouts(10.0, 4.0, 5.0, 30.0), 0.0, 0.0)
    liveness.record_input(CLIENT, 25.0, False)
    liveness.record_input(NODE, 25.0, False)
    assert liveness.check(30.0) == [(CLIENT, LivenessEvent.IDLE)]
    liveness.record_input(NODE, 30.0, True)
    assert LivenessEvent.IDLE not in [event for _, event in liveness.check(59.0)]
