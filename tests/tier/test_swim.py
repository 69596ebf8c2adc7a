"""Who is there: the table of `tier/members.py`, the failures it is for, and any order, loss and repetition."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.lab.tier import Tier
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


def settled(size: int, seed: int = 1, **more) -> Tier:
    """A tier in which everybody has met everybody."""
    tier = Tier(size, seed, **more)
    passed = tier.run(6 * size, lambda: all(tier.believing(n, ALIVE) == size - 1 for n in range(size)))
    assert passed < 6 * size, f"seed {seed}: they never met"
    return tier


def until_gone(tier: Tier, member: int, share: float = 1.0, limit: float = 120) -> float:
    there = len(tier.members) - (member in tier.members)
    passed = tier.run(limit, lambda: tier.believing(member, GONE) >= share * there)
    assert passed < limit, "it was never found out"
    return passed


def test_a_member_that_dies_is_gone_for_everybody_and_nobody_else_is():
    tier = settled(12)
    tier.kill(3)
    until_gone(tier, 3)
    assert tier.wrongly_gone() == 0


def test_one_that_says_so_has_left_and_is_not_suspected():
    tier = settled(12)
    tier.leave(5)
    assert tier.run(30, lambda: tier.believing(5, LEFT) == 11) < 30
    assert tier.believing(5, GONE) == 0


def test_a_restart_from_nothing_under_the_same_number_is_alive_with_its_new_life():
    tier = settled(12)
    tier.kill(4)
    until_gone(tier, 4)
    tier.start(4)
    assert tier.run(60, lambda: tier.believing(4, ALIVE) == 11) < 60
    boot_id = tier.members[4].boot_id
    assert all(view.views()[4].boot_id == boot_id for view in tier.members.values())


def test_seven_in_ten_killed_at_once_and_back_with_nothing():
    tier = settled(20)
    for number in range(14):
        tier.kill(number)
    tier.run(5)
    for number in range(14):
        tier.start(number)
    everybody = lambda: all(tier.believing(n, ALIVE) == 19 for n in range(20))  # noqa: E731
    assert tier.run(120, everybody) < 120
    tier.run(30)
    assert tier.wrongly_gone() == 0


def test_a_stopped_process_that_goes_on_accuses_nobody_and_is_there_again():
    tier = settled(12)
    tier.stop(7)
    until_gone(tier, 7, share=10 / 11)
    tier.go_on(7)
    assert tier.run(60, lambda: tier.believing(7, ALIVE) == 11) < 60
    assert tier.members[7].incarnation > 1, "it contradicted"
    assert tier.wrongly_gone() == 0


@pytest.mark.parametrize("one_way", [False, True])
def test_halves_cut_from_each_other_believe_each_other_gone_and_heal(one_way):
    tier = settled(12)
    tier.cut = lambda sender, to: (sender < 6 <= to) or (not one_way and to < 6 <= sender)
    tier.run(60)
    near = [n for n in range(6) if tier.members[0].state(n) in (ALIVE, SUSPECTED)]
    assert near == list(range(6)), "who can hear each other is there"
    assert all(tier.members[0].state(n) is GONE for n in range(6, 12))
    tier.cut = lambda sender, to: False
    everybody = lambda: all(tier.believing(n, ALIVE) == 11 for n in range(12))  # noqa: E731
    assert tier.run(60, everybody) < 60


def test_half_of_all_datagrams_lost_convicts_few_and_they_come_back():
    tier = settled(12, lost=0.0)
    tier.lost = 0.5
    tier.run(120)
    tier.lost = 0.0
    tier.run(60)
    assert tier.wrongly_gone() == 0


def test_datagrams_five_seconds_late_in_any_order_and_twice_leave_the_last_word():
    tier = settled(12)
    tier.delay_ns, tier.twice = (1_000_000, 5 * SECOND), 0.5
    tier.run(30)
    tier.kill(2)
    tier.delay_ns, tier.twice = (3_000_000, 21_000_000), 0.0
    until_gone(tier, 2)
    tier.run(60)
    assert tier.wrongly_gone() == 0


def accusation(reporter: int, member: int, incarnation: int = 1, state: State = SUSPECTED) -> Message:
    update = MemberUpdate(member, state, incarnation, 77, reporter)
    return Message(MessageKind.GOSSIP, reporter, 1000 + reporter, 1, 0, reporter, (update,))


def lone(size: int = 8) -> Membership:
    """A member that has heard of all others, and whose calls nobody answers or asks."""
    view = Membership(0, size, 1, 1, 0, Timing(ping_interval_ns=10**15))
    for n in range(1, size):
        view.receive(0, Message(MessageKind.GOSSIP, n, 1000 + n, 1, 0, n))
    return view


def test_one_accuser_alone_convicts_nobody_and_two_do():
    for accusers, end in (((3,), ALIVE), ((3, 4), GONE)):
        view = lone()
        for reporter in accusers:
            view.receive(1, accusation(reporter, 5))
        assert view.state(5) is SUSPECTED
        end_of_it = 1 + 2 * view.suspicion_ns()
        view._last_tick = end_of_it  # it did not stand still meanwhile
        view.tick(end_of_it)
        assert view.state(5) is end


def test_a_liar_that_accuses_everybody_takes_nobody_out():
    tier = settled(12)
    for _ in range(60):
        for member in range(1, 12):
            for to in range(1, 12):
                tier.send(to, encode(accusation(0, member, tier.members[member].incarnation, GONE)))
        tier.run(1)
    assert tier.wrongly_gone() == 0


def test_a_peer_that_sends_ten_thousand_a_second_is_answered_as_often_as_any_needs():
    view = lone()
    answers = 0
    for i in range(10_000):
        ask = Message(MessageKind.PING, 2, 1002, 1, i % 60_000, 0)
        answers += len(view.receive(i * SECOND // 10_000, ask))
    assert answers <= 2 * view.timing.replies_per_s


def test_two_processes_with_one_number_are_told_apart():
    tier = settled(6)
    twin = Membership(2, 6, 99, 5, tier.now, tier.timing)
    for send in twin.tick(tier.now):
        tier.send(2, encode(send.message))
    tier.run(1)
    assert tier.members[2].duplicate_count == 1


def test_what_cannot_be_true_is_counted_and_changes_nothing():
    view = lone()
    before = view.views()
    for update in (
        MemberUpdate(5, ALIVE, 3, 77, 4),  # another says that it lives
        MemberUpdate(5, LEFT, 3, 77, 4),
        MemberUpdate(5, SUSPECTED, 10_000, 77, 4),  # an incarnation out of reach
        MemberUpdate(50, SUSPECTED, 1, 77, 4),  # nobody of this tier
        MemberUpdate(5, SUSPECTED, 0, 77, 4),
    ):
        view.receive(2, Message(MessageKind.GOSSIP, 4, 1004, 1, 0, 4, (update,)))
    assert view.views() == before
    assert view.invalid_count == 5


def test_a_list_of_peers_that_shrinks_and_grows_is_ordinary():
    view = lone(8)
    view.resize(1, 5)
    assert [v.member for v in view.views()] == list(range(5))
    view.resize(2, 9)
    assert view.state(8) is State.UNKNOWN
    assert view.receive(3, Message(MessageKind.PING, 8, 5, 1, 1, 0))
    assert view.state(8) is ALIVE


# --- any order, loss and repetition -------------------------------------------------------------

WORDS = st.lists(
    st.builds(
        MemberUpdate, st.integers(1, 5), st.sampled_from([ALIVE, SUSPECTED, LEFT]), st.integers(1, 6),
        st.integers(1, 3), st.integers(1, 5),
    ).map(lambda r: r if r.state is SUSPECTED else r._replace(reporter=r.member)),
    max_size=12,
)  # fmt: skip


@given(WORDS, st.randoms(use_true_random=False))
def test_order_and_repeats_of_what_is_heard_do_not_matter(words, order):
    """Against a plain model that keeps the greatest (incarnation, state) of all that was ever said of each."""
    view = lone(6)
    heard = words + [w for w in words if order.random() < 0.5]
    order.shuffle(heard)
    for word in heard:
        view.receive(
            1, Message(MessageKind.GOSSIP, word.reporter, 1000 + word.reporter, 1, 0, word.reporter, (word,))
        )
    said = [(n, 1, ALIVE) for n in range(1, 6)] + [(w.member, w.incarnation, w.state) for w in words]
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
def test_the_wire_gives_back_what_it_was_given_and_what_a_newer_version_added_is_passed_over(message):
    data = encode(message)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert decode(data) == message
    newer = data[:1] + b"\x02" + data[2:] + b"more"
    assert decode(newer[:MAX_DATAGRAM_BYTES]) == message


@given(st.binary(max_size=300))
def test_garbage_is_refused_and_harms_no_member(data):
    try:
        message = decode(data)
    except MalformedDatagramError:
        return
    lone().receive(1, message)


@given(MESSAGES, st.integers(0, 17))
def test_a_datagram_cut_short_is_refused(message, kept):
    assert len(encode(message)) > 18
    with pytest.raises(MalformedDatagramError):
        decode(encode(message)[:kept])


@given(st.lists(MESSAGES, max_size=20))
def test_whatever_peers_say_a_member_believes_that_it_is_there_itself(messages):
    view = lone()
    for message in messages:
        view.receive(1, message)
        assert view.state(0) is ALIVE
        assert view.views()[0].boot_id == 1


# --- planted faults: what the tests above would not let pass -------------------------------------


def test_a_liar_whose_weight_is_unbounded_is_found(monkeypatch):
    monkeypatch.setattr(module, "MIN_REPORTERS", 1)
    with pytest.raises(AssertionError):
        test_one_accuser_alone_convicts_nobody_and_two_do()


def test_an_accusation_that_never_ages_is_found(monkeypatch):
    monkeypatch.setattr(Membership, "_clear_suspicion", lambda *_: None)
    with pytest.raises(AssertionError):
        test_one_accuser_alone_convicts_nobody_and_two_do()


def test_a_member_that_never_contradicts_is_found(monkeypatch):
    monkeypatch.setattr(Membership, "_refute", lambda *_: None)
    with pytest.raises(AssertionError):
        test_a_stopped_process_that_goes_on_accuses_nobody_and_is_there_again()
