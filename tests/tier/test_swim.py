"""Membership of `tier/swim.py`: failures, partitions, false reports, the wire format, and injected faults."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.lab.tier import MembershipSimulation
from covetally.tier import swim as module
from covetally.tier.reports import AGE_UNIT_NS, Report, ReportKind, ReportStatus
from covetally.tier.swim import (
    SECOND,
    LeasePayload,
    Membership,
    MemberUpdate,
    Message,
    MessageKind,
    State,
    Timing,
)
from covetally.tier.wire import MAX_DATAGRAM_BYTES, MalformedDatagramError, decode, encode

ALIVE, SUSPECTED, GONE, LEFT = State.ALIVE, State.SUSPECTED, State.GONE, State.LEFT


def converged_tier(size: int, seed: int = 1, **more) -> MembershipSimulation:
    """A tier in which each member knows all others as alive."""
    tier = MembershipSimulation(size, seed, **more)
    passed = tier.run(6 * size, lambda: all(tier.count_views(n, ALIVE) == size - 1 for n in range(size)))
    assert passed < 6 * size, f"seed {seed}: the members never all learned of each other"
    return tier


def until_gone(tier: MembershipSimulation, member: int, share: float = 1.0, limit: float = 120) -> float:
    there = len(tier.members) - (member in tier.members)
    passed = tier.run(limit, lambda: tier.count_views(member, GONE) >= share * there)
    assert passed < limit, "the member was never gone for enough members"
    return passed


def test_a_killed_member_is_gone_for_all_members_and_no_other_is():
    tier = converged_tier(12)
    tier.kill(3)
    until_gone(tier, 3)
    assert tier.count_false_removals() == 0


def test_a_member_that_announces_its_leave_has_left_and_is_not_suspected():
    tier = converged_tier(12)
    tier.leave(5)
    assert tier.run(30, lambda: tier.count_views(5, LEFT) == 11) < 30
    assert tier.count_views(5, GONE) == 0


def test_a_member_restarted_without_state_is_alive_with_its_new_boot_id():
    tier = converged_tier(12)
    tier.kill(4)
    until_gone(tier, 4)
    tier.start(4)
    assert tier.run(60, lambda: tier.count_views(4, ALIVE) == 11) < 60
    boot_id = tier.members[4].boot_id
    assert all(view.views()[4].boot_id == boot_id for view in tier.members.values())


def test_most_members_killed_at_once_recover_without_state():
    tier = converged_tier(20)
    for number in range(14):
        tier.kill(number)
    tier.run(5)
    for number in range(14):
        tier.start(number)
    all_alive = lambda: all(tier.count_views(n, ALIVE) == 19 for n in range(20))  # noqa: E731
    assert tier.run(120, all_alive) < 120
    tier.run(30)
    assert tier.count_false_removals() == 0


def test_a_paused_process_that_resumes_suspects_no_other_and_is_alive_again():
    tier = converged_tier(12)
    tier.stop(7)
    until_gone(tier, 7, share=10 / 11)
    tier.go_on(7)
    assert tier.run(60, lambda: tier.count_views(7, ALIVE) == 11) < 60
    assert tier.members[7].incarnation > 1, "it did not refute the suspicion"
    assert tier.count_false_removals() == 0


@pytest.mark.parametrize("one_way", [False, True])
def test_partitioned_halves_see_each_other_as_gone_and_recover(one_way):
    tier = converged_tier(12)
    tier.is_cut = lambda sender, to: (sender < 6 <= to) or (not one_way and to < 6 <= sender)
    tier.run(60)
    near = [n for n in range(6) if tier.members[0].state(n) in (ALIVE, SUSPECTED)]
    assert near == list(range(6)), "members of the same half are not all present"
    assert all(tier.members[0].state(n) is GONE for n in range(6, 12))
    tier.is_cut = lambda sender, to: False
    all_alive = lambda: all(tier.count_views(n, ALIVE) == 11 for n in range(12))  # noqa: E731
    assert tier.run(60, all_alive) < 60


def test_members_recover_after_half_of_all_datagrams_are_lost():
    tier = converged_tier(12, loss_rate=0.0)
    tier.loss_rate = 0.5
    tier.run(120)
    tier.loss_rate = 0.0
    tier.run(60)
    assert tier.count_false_removals() == 0


def test_delayed_reordered_and_duplicated_datagrams_do_not_override_newer_ones():
    tier = converged_tier(12)
    tier.delay_ns, tier.duplicate_rate = (1_000_000, 5 * SECOND), 0.5
    tier.run(30)
    tier.kill(2)
    tier.delay_ns, tier.duplicate_rate = (3_000_000, 21_000_000), 0.0
    until_gone(tier, 2)
    tier.run(60)
    assert tier.count_false_removals() == 0


def failure_report(reporter: int, member: int, incarnation: int = 1, state: State = SUSPECTED) -> Message:
    update = MemberUpdate(member, state, incarnation, 77, reporter)
    return Message(MessageKind.GOSSIP, reporter, 1000 + reporter, 1, 0, reporter, (update,))


def isolated(size: int = 8) -> Membership:
    """A member that knows all others as alive, and sends and receives no pings of its own."""
    view = Membership(0, size, 1, 1, 0, Timing(ping_interval_ns=10**15))
    for n in range(1, size):
        view.receive(0, Message(MessageKind.GOSSIP, n, 1000 + n, 1, 0, n))
    return view


def test_one_failure_report_does_not_make_a_member_gone_but_two_do():
    for reporters, end in (((3,), ALIVE), ((3, 4), GONE)):
        view = isolated()
        for reporter in reporters:
            view.receive(1, failure_report(reporter, 5))
        assert view.state(5) is SUSPECTED
        suspicion_end = 1 + 2 * view.suspicion_ns()
        view._last_tick = suspicion_end  # so that it does not count as paused
        view.tick(suspicion_end)
        assert view.state(5) is end


def test_false_failure_reports_of_one_member_remove_no_other():
    tier = converged_tier(12)
    for _ in range(60):
        for member in range(1, 12):
            for to in range(1, 12):
                tier.send(to, encode(failure_report(0, member, tier.members[member].incarnation, GONE)))
        tier.run(1)
    assert tier.count_false_removals() == 0


def test_replies_to_a_peer_that_floods_are_rate_limited():
    view = isolated()
    answers = 0
    for i in range(10_000):
        ping = Message(MessageKind.PING, 2, 1002, 1, i % 60_000, 0)
        answers += len(view.receive(i * SECOND // 10_000, ping))
    assert answers <= 2 * view.timing.replies_per_s


def test_two_processes_with_the_same_index_are_detected():
    tier = converged_tier(6)
    duplicate = Membership(2, 6, 99, 5, tier.now, tier.timing)
    for outgoing in duplicate.tick(tier.now):
        tier.send(2, encode(outgoing.message))
    tier.run(1)
    assert tier.members[2].duplicate_count == 1


def test_invalid_updates_are_counted_and_change_nothing():
    view = isolated()
    before = view.views()
    for update in (
        MemberUpdate(5, ALIVE, 3, 77, 4),  # only the member itself may say that it is alive
        MemberUpdate(5, LEFT, 3, 77, 4),
        MemberUpdate(5, SUSPECTED, 10_000, 77, 4),  # an incarnation too far ahead
        MemberUpdate(50, SUSPECTED, 1, 77, 4),  # not a member of this tier
        MemberUpdate(5, SUSPECTED, 0, 77, 4),
    ):
        view.receive(2, Message(MessageKind.GOSSIP, 4, 1004, 1, 0, 4, (update,)))
    assert view.views() == before
    assert view.invalid_count == 5


def test_the_list_of_peers_can_shrink_and_grow():
    view = isolated(8)
    view.resize(1, 5)
    assert [v.member for v in view.views()] == list(range(5))
    view.resize(2, 9)
    assert view.state(8) is State.UNKNOWN
    assert view.receive(3, Message(MessageKind.PING, 8, 5, 1, 1, 0))
    assert view.state(8) is ALIVE


# --- any order, loss and repetition -------------------------------------------------------------

UPDATE_LISTS = st.lists(
    st.builds(
        MemberUpdate, st.integers(1, 5), st.sampled_from([ALIVE, SUSPECTED, LEFT]), st.integers(1, 6),
        st.integers(1, 3), st.integers(1, 5),
    ).map(lambda r: r if r.state is SUSPECTED else r._replace(reporter=r.member)),
    max_size=12,
)  # fmt: skip


@given(UPDATE_LISTS, st.randoms(use_true_random=False))
def test_received_updates_do_not_depend_on_order_or_repetition(updates, order):
    """Compares with a simple model that keeps the highest (incarnation, state) received on each member."""
    view = isolated(6)
    received = updates + [update for update in updates if order.random() < 0.5]
    order.shuffle(received)
    for update in received:
        view.receive(
            1,
            Message(
                MessageKind.GOSSIP, update.reporter, 1000 + update.reporter, 1, 0, update.reporter, (update,)
            ),
        )
    said = [(n, 1, ALIVE) for n in range(1, 6)] + [
        (update.member, update.incarnation, update.state) for update in updates
    ]
    for member in range(1, 6):
        greatest = max((incarnation, state) for n, incarnation, state in said if n == member)
        known = view.views()[member]
        assert (known.incarnation, known.state) == greatest


REPORTS = st.builds(
    Report, st.sampled_from(ReportKind), st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1),
    st.sampled_from(ReportStatus), st.integers(0, 255), st.integers(0, 255),
    st.integers(0, 255).map(lambda units: units * AGE_UNIT_NS),
)  # fmt: skip
LEASES = st.builds(
    LeasePayload, st.integers(0, 2**32 - 1), st.integers(0, 2**64 - 1), st.floats(0, 1), st.floats(0, 1e9)
)
LEASE_MESSAGES = st.builds(
    Message, st.sampled_from([MessageKind.LEASE_REQUEST, MessageKind.LEASE_GRANT]), st.integers(0, 65535),
    st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1), st.integers(0, 65535), st.integers(0, 65535),
    st.just(()), st.lists(REPORTS, max_size=10).map(tuple), LEASES,
)  # fmt: skip
UPDATES = st.lists(
    st.builds(MemberUpdate, st.integers(0, 65535), st.sampled_from([ALIVE, SUSPECTED, GONE, LEFT]),
              st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1), st.integers(0, 65535)),
    max_size=15,
).map(tuple)  # fmt: skip
MESSAGES = LEASE_MESSAGES | st.builds(
    Message,
    st.sampled_from([MessageKind.PING, MessageKind.ACK, MessageKind.PING_REQUEST, MessageKind.GOSSIP]),
    st.integers(0, 65535), st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1), st.integers(0, 65535),
    st.integers(0, 65535), UPDATES, st.lists(REPORTS, max_size=3).map(tuple), st.none(),
)  # fmt: skip


@given(MESSAGES)
def test_decode_inverts_encode_and_ignores_what_a_newer_version_appends(message):
    data = encode(message)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert decode(data) == message
    newer = data[:1] + b"\x02" + data[2:] + b"more"
    assert decode(newer[:MAX_DATAGRAM_BYTES]) == message


@given(st.binary(max_size=300))
def test_random_bytes_are_rejected_and_harm_no_member(data):
    try:
        message = decode(data)
    except MalformedDatagramError:
        return
    isolated().receive(1, message)


@given(MESSAGES, st.integers(0, 17))
def test_a_truncated_datagram_is_rejected(message, kept):
    assert len(encode(message)) > 18
    with pytest.raises(MalformedDatagramError):
        decode(encode(message)[:kept])


@given(st.lists(MESSAGES, max_size=20))
def test_a_member_sees_itself_as_alive_whatever_it_receives(messages):
    view = isolated()
    for message in messages:
        view.receive(1, message)
        assert view.state(0) is ALIVE
        assert view.views()[0].boot_id == 1


# --- injected faults that the tests above must detect --------------------------------------------


def test_an_unbounded_weight_of_one_reporter_is_detected(monkeypatch):
    monkeypatch.setattr(module, "MIN_REPORTERS", 1)
    with pytest.raises(AssertionError):
        test_one_failure_report_does_not_make_a_member_gone_but_two_do()


def test_a_suspicion_that_never_ends_is_detected(monkeypatch):
    monkeypatch.setattr(Membership, "_clear_suspicion", lambda *_: None)
    with pytest.raises(AssertionError):
        test_one_failure_report_does_not_make_a_member_gone_but_two_do()


def test_a_member_that_never_refutes_is_detected(monkeypatch):
    monkeypatch.setattr(Membership, "_refute", lambda *_: None)
    with pytest.raises(AssertionError):
        test_a_paused_process_that_resumes_suspects_no_other_and_is_alive_again()
