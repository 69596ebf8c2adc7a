"""Unit tests of the parts of caps, and all members under random faults in virtual time."""

from __future__ import annotations

import contextlib
import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.caps import Mode, Rule
from covetally.caps.connection_limiter import ConnectionLimiter
from covetally.caps.lease_holder import RECALL_TIMEOUT_NS, REQUEST_INTERVAL_NS, LeaseHolder
from covetally.caps.owner import RECALL_INTERVAL_NS, WAIT_TIMEOUT_NS, Grant, Owner, Recall, ReceivedRequest
from covetally.caps.member import CLIENT, MIN_IDLE_NS, Cap
from covetally.caps.messages import CapsMessage, MessageKind, decode, encode
from covetally.caps.rule import MAX_OWNERS, rank_owners
from covetally.interface import SECOND
from covetally.lab.caps import CapSimulation
from covetally.rig.schedule import Link, Schedule, Step, draw
from covetally.gossip import MalformedMessageError

SEED = int(os.environ.get("CAPS_SEED", "0"))


@given(st.text(max_size=20), st.integers(1, 300), st.integers(0, 500))
def test_each_unit_has_one_owner_and_there_are_few_owners(name, members, amount):
    rule = Rule(name, amount, members)
    owned = [rule.owned_units(member) for member in range(members)]
    assert sum(owned) == amount
    assert len(rule.owners()) == min(amount, members, MAX_OWNERS)
    assert max(owned) - min(units for units in owned if units or not amount) <= 1


def test_owners_of_different_caps_are_spread_over_the_members():
    counts = [0] * 60
    for number in range(400):
        for owner in rank_owners(f"caps.client.w{number}", 60):
            counts[owner] += 1
    assert max(counts) < 2 * 400 * MAX_OWNERS / 60


messages = st.builds(
    CapsMessage, st.sampled_from(MessageKind), *[st.integers(0, 2**32 - 1)] * 3, *[st.integers(0, 65535)] * 4
)


@given(messages)
def test_an_encoded_message_decodes_to_itself(message):
    assert decode(encode(message)) == message


@given(st.binary(max_size=40))
def test_arbitrary_bytes_decode_to_a_message_or_raise_malformed_message_error(data):
    with contextlib.suppress(MalformedMessageError):
        assert encode(decode(data)) == data[:21]


# --- owner --------------------------------------------------------------------------------------


def owner_past_fence(mode: Mode = Mode.LAPSES, amount: int = 10) -> tuple[Owner, int]:
    """Return an owner of all units that may lend them, and the time."""
    rule = Rule("x", amount, 4, mode)
    first = rule.owners()[0]
    owner = Owner(rule, first, 0)
    owner.units = amount
    now = rule.fence_ns + 1
    if mode is Mode.NEVER:
        for member in range(4):
            owner.handle_request(now, member, 1, ReceivedRequest(1, 0, 0))
    return owner, now


def test_owner_lends_nothing_after_its_start_until_leases_of_its_previous_incarnation_have_lapsed():
    rule = Rule("x", 10, 4)
    owner = Owner(rule, rule.owners()[0], 0)
    owner.units = 10
    assert owner.handle_request(1, 2, 7, ReceivedRequest(1, 0, 3))[0].lent == 0
    assert owner.handle_request(2, 3, 7, ReceivedRequest(1, 2, 0))[0].lent == 2, (
        "units that a holder reports are renewed"
    )
    assert owner.handle_request(rule.fence_ns, 2, 7, ReceivedRequest(2, 0, 1))[0].lent == 1


def test_owner_in_never_mode_lends_nothing_until_all_members_have_reported():
    rule = Rule("x", 10, 4, Mode.NEVER)
    me = rule.owners()[0]
    owner = Owner(rule, me, 0)
    owner.units = 10
    others = [member for member in range(4) if member != me]
    for member in others[:-1]:
        assert owner.handle_request(10 * rule.fence_ns, member, 7, ReceivedRequest(1, 0, 1))[0].lent == 0
    assert owner.members_to_query(10 * rule.fence_ns) == (others[-1],)
    assert owner.handle_request(10 * rule.fence_ns, others[-1], 7, ReceivedRequest(1, 3, 1))[0].lent == 4


@pytest.mark.parametrize("mode, lent", [(Mode.LAPSES, 0), (Mode.NEVER, 4)])
def test_units_of_a_silent_holder_are_freed_after_a_fence_only_in_lapses_mode(mode, lent):
    owner, now = owner_past_fence(mode)
    owner.handle_request(now, 1, 7, ReceivedRequest(5, 0, 4))
    owner.tick(now + owner.rule.fence_ns - 1)
    assert owner.lent == 4
    owner.tick(now + owner.rule.fence_ns)
    assert owner.lent == lent


@pytest.mark.parametrize("mode", Mode)
def test_new_incarnation_of_a_holder_frees_the_units_of_the_old_one_whose_late_requests_are_ignored(mode):
    owner, now = owner_past_fence(mode)
    owner.handle_request(now, 1, 7, ReceivedRequest(100, 0, 4))
    assert owner.handle_request(now + 1, 1, 8, ReceivedRequest(200, 0, 1))[0].lent == 1
    assert owner.handle_request(now + 2, 1, 7, ReceivedRequest(101, 4, 0)) == []
    assert owner.lent == 1 and owner.superseded == 1


def test_request_replaces_what_the_owner_has_recorded_as_lent():
    """An earlier grant was lost, or is void."""
    owner, now = owner_past_fence()
    owner.handle_request(now, 1, 7, ReceivedRequest(1, 0, 4))
    assert owner.handle_request(now, 1, 7, ReceivedRequest(2, 0, 4))[0].lent == 4
    assert owner.handle_request(now, 1, 7, ReceivedRequest(1, 0, 9)) == [], "older than the last request"
    assert owner.lent == 4


def test_freed_unit_goes_to_the_holder_that_waits_and_idle_units_are_recalled():
    owner, now = owner_past_fence(amount=2)
    owner.handle_request(now, 1, 7, ReceivedRequest(1, 0, 2))
    answers = owner.handle_request(now + 1, 2, 7, ReceivedRequest(1, 0, 1))
    assert [answer for answer in answers if isinstance(answer, Recall)] == [], "nothing is idle"
    answers = owner.handle_request(now + 2, 1, 7, ReceivedRequest(2, 2, 0, 1, SECOND))
    assert Recall(1, 1, busy=False) in answers
    answers = owner.handle_request(now + 3, 1, 7, ReceivedRequest(3, 1, 0))
    assert [answer for answer in answers if isinstance(answer, Grant) and answer.holder == 2 and answer.lent == 1]


def test_lowered_cap_recalls_the_units_beyond_it():
    owner, now = owner_past_fence(amount=10)
    owner.handle_request(now, 1, 7, ReceivedRequest(1, 0, 6, 2, 5 * SECOND))
    owner.handle_request(now, 2, 7, ReceivedRequest(1, 0, 4))
    owner.units = 3
    assert owner.tick(now + SECOND) == [Recall(1, 6, busy=True), Recall(2, 1, busy=True)]


def test_holder_that_reports_more_than_it_was_lent_keeps_only_what_is_free():
    """Its lease lapsed at the owner, which may have lent the units to another holder since."""
    owner, now = owner_past_fence(amount=10)
    owner.handle_request(now, 1, 7, ReceivedRequest(1, 0, 4))
    assert owner.handle_request(now + 1, 1, 7, ReceivedRequest(2, 6, 0))[0].lent == 6
    owner.handle_request(now + 2, 2, 7, ReceivedRequest(1, 0, 3))
    assert owner.handle_request(now + 3, 1, 7, ReceivedRequest(3, 9, 0))[0].lent == 7
    assert owner.lent == 10


def test_owner_lends_from_the_end_of_its_fence_on():
    rule = Rule("x", 10, 4)
    owner = Owner(rule, rule.owners()[0], 0)
    owner.units = 10
    assert owner.handle_request(rule.fence_ns - 1, 1, 7, ReceivedRequest(1, 0, 1))[0].lent == 0
    assert owner.handle_request(rule.fence_ns, 2, 7, ReceivedRequest(1, 9, 0))[0].lent == 9


def test_recalls_to_a_holder_are_at_least_an_interval_apart():
    owner, now = owner_past_fence(amount=2)
    owner.handle_request(now, 1, 7, ReceivedRequest(1, 0, 2))
    owner.handle_request(now, 2, 7, ReceivedRequest(1, 0, 1))
    assert Recall(1, 1) in owner.handle_request(now, 1, 7, ReceivedRequest(2, 2, 0, 2, SECOND))
    assert owner.tick(now + RECALL_INTERVAL_NS - 1) == []
    assert owner.tick(now + RECALL_INTERVAL_NS) == [Recall(1, 1)]


def test_holder_leaves_the_queue_a_timeout_after_its_last_request():
    owner, now = owner_past_fence(amount=2)
    owner.handle_request(now, 1, 7, ReceivedRequest(1, 0, 2))
    owner.handle_request(now, 2, 7, ReceivedRequest(1, 0, 1))
    assert owner.table(now + WAIT_TIMEOUT_NS - 1)["waiting"] == 1
    assert owner.table(now + WAIT_TIMEOUT_NS)["waiting"] == 0
    assert [
        answer for answer in owner.handle_request(now + WAIT_TIMEOUT_NS, 1, 7, ReceivedRequest(2, 0, 0))
        if answer.holder == 2
    ] == []  # fmt: skip


def test_silent_holders_are_queried_in_never_mode():
    rule = Rule("x", 10, 4, Mode.NEVER)
    owner = Owner(rule, rule.owners()[0], 0)
    owner.units, owner._unreported = 10, set()
    others = [member for member in range(4) if member != owner.me]
    owner.handle_request(0, others[0], 7, ReceivedRequest(1, 0, 2))
    owner.handle_request(0, others[1], 7, ReceivedRequest(1, 0, 0))
    owner.handle_request(rule.lease_ns, others[2], 7, ReceivedRequest(1, 0, 2))
    assert owner.members_to_query(rule.lease_ns - 1) == ()
    assert owner.members_to_query(rule.lease_ns) == (others[0],)


@pytest.mark.parametrize(
    "new_rule, fenced",
    [(Rule("x", 20, 4), False), (Rule("x", 8, 4), False), (Rule("x", 10, 2), True),
     (Rule("x", 10, 4, Mode.NEVER), True)],
)  # fmt: skip
def test_units_are_fenced_after_a_change_of_members_or_mode_but_not_of_the_amount(new_rule, fenced):
    rule = Rule("x", 10, 4)
    owner = Owner(rule, new_rule.owners()[0], 0)
    now = 3 * rule.fence_ns
    owner.update_rule(now, new_rule)
    assert (owner.free(now) == 0) == fenced
    if new_rule.mode is Mode.LAPSES:
        assert owner.free(now + rule.fence_ns) == new_rule.owned_units(owner.me)


# --- lease holder -----------------------------------------------------------------------------------


def test_grant_is_valid_only_for_the_last_request_and_for_one_lease_after_it_was_sent():
    rule = Rule("x", 4, 3)
    holder = LeaseHolder(rule, 0, 0)
    holder.needed = 2
    request = holder.tick(SECOND, 0)[0]
    holder.handle_grant(2 * SECOND, request.owner, request.number - 1, 2, 0)
    assert holder.held(2 * SECOND) == 0
    holder.handle_grant(2 * SECOND, request.owner, request.number, 2, 0)
    assert holder.held(2 * SECOND) == 2
    assert holder.held(SECOND + rule.lease_ns - 1) == 2 and holder.held(SECOND + rule.lease_ns) == 0


def granted_holder(rule: Rule, now: int, needed: int = 4) -> LeaseHolder:
    """Return a holder that has been granted all that it requested."""
    holder = LeaseHolder(rule, 0, 0)
    holder.needed = needed
    for request in holder.tick(now, 0):
        holder.handle_grant(now, request.owner, request.number, request.wanted, 0)
    return holder


def test_recalled_unit_is_not_usable_and_is_returned_once_its_connection_is_closed():
    holder = granted_holder(Rule("x", 4, 3), SECOND)
    held = holder.held(SECOND)
    first = next(iter(holder.table(SECOND)["of"]))
    assert holder.handle_recall(SECOND, first, 1, in_use=held, closable=1) == []
    assert holder.usable(SECOND) == held - 1 and holder.held(SECOND) == held
    requests = holder.tick(SECOND + 1, in_use=held - 1)
    assert [r.owner for r in requests if r.held < 2][0] == first and holder.held(SECOND + 1) == held - 1


def test_recall_of_idle_units_leaves_those_that_are_in_use_again():
    holder = granted_holder(Rule("x", 4, 3), SECOND)
    held = holder.held(SECOND)
    first = next(iter(holder.table(SECOND)["of"]))
    assert holder.handle_recall(SECOND, first, 2, in_use=held, closable=0) == []
    assert holder.usable(SECOND) == held
    requests = holder.handle_recall(SECOND, first, 2, in_use=held - 1, closable=0)
    assert [request.owner for request in requests] == [first] and holder.usable(SECOND) == held - 1


def test_holder_that_needs_no_more_units_leaves_the_queues_once():
    holder = LeaseHolder(Rule("x", 4, 3), 0, 0)
    holder.needed = 4
    requests = holder.tick(SECOND, 0)
    for request in requests:
        holder.handle_grant(SECOND, request.owner, request.number, 0, SECOND)
    holder.needed = 0
    assert [(r.owner, r.wanted) for r in holder.tick(SECOND + 1, 0)] == [(r.owner, 0) for r in sorted(requests)]
    assert holder.tick(SECOND + 2, 0) == [], "once"


def test_holder_that_was_granted_all_it_requested_is_in_no_queue():
    holder = granted_holder(Rule("x", 4, 3), SECOND)
    assert holder.held(SECOND) == 4
    assert holder.tick(SECOND + 1, 4) == []


def test_recalled_unit_is_usable_again_if_the_recall_is_not_repeated():
    holder = granted_holder(Rule("x", 4, 3), SECOND)
    first = next(iter(holder.table(SECOND)["of"]))
    holder.handle_recall(SECOND, first, 1, in_use=4, closable=4)
    holder.tick(SECOND + RECALL_TIMEOUT_NS - 1, 4)
    assert holder.usable(SECOND + RECALL_TIMEOUT_NS - 1) == 3
    holder.tick(SECOND + RECALL_TIMEOUT_NS, 4)
    assert holder.usable(SECOND + RECALL_TIMEOUT_NS) == 4


def test_holder_without_a_grant_retries_after_the_owners_delay_and_not_before():
    rule = Rule("x", 1, 3)
    holder = LeaseHolder(rule, 0, 0)
    holder.needed = 1
    (request,) = holder.tick(SECOND, 0)
    holder.handle_grant(SECOND, request.owner, request.number, 0, SECOND)
    assert holder.tick(2 * SECOND - REQUEST_INTERVAL_NS, 0) == []
    assert [r.wanted for r in holder.tick(2 * SECOND, 0)] == [1]


@pytest.mark.parametrize("mode", Mode)
def test_units_expire_at_the_reported_time_in_lapses_mode_only(mode):
    rule = Rule("x", 4, 3, mode)
    holder = granted_holder(rule, SECOND)
    end = SECOND + rule.lease_ns
    if mode is Mode.NEVER:
        assert holder.expires_at(SECOND) == 0
        holder.tick(end, 4)
        assert holder.held(end) == 4 and sum(holder.table(end)["of"].values()) == 4
    else:
        assert holder.expires_at(end - 1) == end and holder.expires_at(end) == 0
        holder.tick(end, 4)
        assert holder.held(end) == 0 and holder.table(end)["of"] == {}


def test_changed_list_of_members_has_other_owners_and_every_query_is_answered():
    before, after = Rule("x", 2, 3), Rule("x", 9, 9)
    holder = LeaseHolder(before, 0, 0)
    new_owner = next(owner for owner in after.owners() if owner not in before.owners())
    (answer,) = holder.handle_query(SECOND, new_owner)
    assert (answer.owner, answer.held, answer.wanted) == (new_owner, 0, 0)
    holder.update_rule(SECOND, after)
    holder.needed = 9
    requested = set()
    for now in range(SECOND, 2 * SECOND, SECOND // 20):
        for request in holder.tick(now, 0):
            requested.add(request.owner)
            holder.handle_grant(now, request.owner, request.number, request.held + request.wanted, 0)
    assert requested == set(after.owners()) and holder.held(2 * SECOND) == 9
    (answer,) = holder.handle_query(2 * SECOND, new_owner)
    assert answer.held == 1


# --- connection limiter -------------------------------------------------------------------------


class FakeConnection:
    def __init__(self) -> None:
        self.close_after_response = self.closed = self.busy = False

    def silent(self) -> bool:
        return not self.busy

    def evict(self) -> None:
        self.closed = True


REQUEST_PAUSE_NS = MIN_IDLE_NS // 3  # between two requests


class LimiterHarness:
    """A limiter with a cap of `limit` on tenant 1, and a clock that requests move on."""

    def __init__(self, limit: int | None) -> None:
        self.now, self.limit = 0, limit
        self.limiter = ConnectionLimiter(
            lambda: self.now, lambda tenant: self.limit if tenant == 1 else None, 250
        )

    def serve(self, connection: FakeConnection, tenant: int = 1) -> int:
        self.now += REQUEST_PAUSE_NS
        retry_after = self.limiter.admit(connection, tenant)
        if not retry_after:
            self.limiter.idle(connection)
        return retry_after


def test_at_the_cap_the_longest_idle_connection_is_evicted_and_without_one_the_request_is_refused():
    harness, connections = LimiterHarness(2), [FakeConnection() for _ in range(4)]
    assert [harness.serve(connection) for connection in connections[:2]] == [0, 0]
    harness.now += MIN_IDLE_NS
    assert harness.serve(connections[2]) == 0
    assert [connection.closed for connection in connections] == [True, False, False, False]
    for connection in connections[1:3]:
        harness.limiter.admit(connection, 1)  # its request is in progress now
    assert harness.serve(connections[3]) == 250
    assert harness.limiter.usage(harness.now, Cap(Rule("x", 2, 3), CLIENT, 1)).wanted == 1
    assert not connections[1].closed and not connections[2].closed


def test_idle_connection_with_an_arriving_request_is_not_evicted():
    harness, first, second = LimiterHarness(1), FakeConnection(), FakeConnection()
    harness.serve(first)
    harness.now += MIN_IDLE_NS
    first.busy = True
    assert harness.serve(second) == 250 and not first.closed


def test_connection_is_not_idle_in_a_short_pause_between_requests():
    """Otherwise two clients that want the same unit would evict each other in turn."""
    harness, first, second = LimiterHarness(1), FakeConnection(), FakeConnection()
    for _ in range(10):
        assert harness.serve(first) == 0
        assert harness.serve(second) == 250
        assert harness.limiter.usage(harness.now, Cap(Rule("x", 1, 3), CLIENT, 1)).idle == 0
    harness.now += MIN_IDLE_NS
    assert harness.limiter.usage(harness.now, Cap(Rule("x", 1, 3), CLIENT, 1)).idle == 1
    assert harness.serve(second) == 0 and first.closed


def test_lowered_cap_evicts_idle_connections_and_lets_requests_in_progress_end():
    harness, connections = LimiterHarness(3), [FakeConnection() for _ in range(3)]
    for connection in connections:
        harness.serve(connection)
    harness.limiter.admit(connections[2], 1)
    harness.limit = 0
    harness.limiter.usage(0, Cap(Rule("x", 0, 3), CLIENT, 1))
    assert [connection.closed for connection in connections] == [True, True, False] and connections[
        2
    ].close_after_response


def test_tenants_without_a_cap_are_not_limited_and_do_not_use_up_the_cap_of_others():
    harness = LimiterHarness(1)
    assert [harness.serve(FakeConnection(), tenant=0) for _ in range(50)] == [0] * 50
    assert harness.serve(FakeConnection()) == 0


# --- all members, in virtual time ----------------------------------------------------------------


def set_demand(members: range, amount: float, at: float = 0.0) -> Step:
    return Step(at, "demand", tuple(members), amount=amount)


@pytest.mark.parametrize("mode", Mode)
@pytest.mark.parametrize("size", [12, 60])
def test_demand_that_moves_gets_nine_tenths_of_the_cap_within_a_second(mode, size):
    """Half of that second is the time after which connections left open elsewhere count as idle."""
    few, others = range(5), range(size - 5, size)
    play = CapSimulation(Rule("x", 20, size, mode), SEED)
    found = play.run((set_demand(few, 20.0), set_demand(few, 0.0, 6.0), set_demand(others, 20.0, 6.0)), 9.0)
    assert sum(member.open for member in play.members[-5:]) == 20
    assert 0 < found.shift_s <= 1.0, SEED


@pytest.mark.parametrize("mode", Mode)
@pytest.mark.parametrize("size, cap, members", [(60, 20, range(5)), (60, 20, range(60)), (24, 200, range(3))])
def test_whole_cap_is_usable_and_moves_with_the_demand(mode, size, cap, members):
    play = CapSimulation(Rule("x", cap, size, mode), SEED + 1)
    others = range(size - len(members), size) if len(members) < size else members
    schedule = (set_demand(members, cap), set_demand(members, 0, 6.0), set_demand(others, cap, 6.0))
    found = play.run(schedule, 11.0)
    assert found.excess == 0
    assert sum(member.open for member in play.members) >= 0.9 * cap
    assert found.shift_s < 2.5
    assert found.max_datagrams_per_s < 80


@pytest.mark.parametrize("mode", Mode)
@pytest.mark.parametrize("seed", range(12))
def test_random_schedules_of_faults_never_exceed_a_cap(mode, seed):
    size = (4, 6, 12)[seed % 3]
    found = CapSimulation(Rule("x", 20, size, mode), SEED + seed).run(draw(SEED + seed, size, 16.0, 20.0), 20.0)
    assert found.excess == 0, f"seed {SEED + seed}"
    assert found.unused <= 2, f"seed {SEED + seed}"


def stopped_past_its_lease() -> Schedule:
    """Return faults that stop a holder past its lease and continue it, while others want all units."""
    return (
        set_demand(range(2), 20), Step(2.0, "stop", (0,)), set_demand(range(2, 6), 20, 2.5),
        Step(16.0, "go_on", (0,)), Step(17.0, "kill", (1,)), Step(18.0, "start", (1,)),
    )  # fmt: skip


@pytest.mark.parametrize("mode", Mode)
def test_holder_stopped_past_its_lease_closes_connections_it_lost_before_it_opens_new_ones(mode):
    found = CapSimulation(Rule("x", 20, 6, mode), SEED + 3).run(stopped_past_its_lease(), 24.0)
    assert found.excess == 0


def test_member_that_leaves_returns_its_units_at_once():
    play = CapSimulation(Rule("x", 20, 6, Mode.NEVER), SEED + 2)
    schedule = (set_demand(range(1), 20), Step(3.0, "leave", (0,)), set_demand(range(1, 2), 20, 3.0))
    play.run(schedule, 4.0)
    owned = play.rule.owned_units(0)
    assert play.members[1].open >= 0.9 * (20 - owned), "the units that it owns are unavailable without it"


def inject_bug(monkeypatch, bug: str) -> None:
    if bug == "an owner lends right after its start":
        original_init = Owner.__init__

        def init_without_fence(self, rule, me, now):
            original_init(self, rule, me, now)
            self._fenced_until = now

        monkeypatch.setattr(Owner, "__init__", init_without_fence)
    elif bug == "a holder ignores that its lease has lapsed":
        monkeypatch.setattr(LeaseHolder, "_is_valid", lambda self, lease, now: True)
        monkeypatch.setattr(LeaseHolder, "expires_at", lambda self, now: 0)
        original_tick = LeaseHolder.tick

        def tick_without_expiry(self, now, in_use, idle=0):
            for lease in self._leases.values():
                lease.expires_at = 2**62
            return original_tick(self, now, in_use, idle)

        monkeypatch.setattr(LeaseHolder, "tick", tick_without_expiry)
    else:
        monkeypatch.setattr(Rule, "fence_ns", property(lambda self: self.lease_ns // 4))


@pytest.mark.parametrize(
    "bug",
    [
        "an owner lends right after its start",
        "a holder ignores that its lease has lapsed",
        "an owner lends again too soon",
    ],
)
def test_injected_bugs_exceed_the_cap(monkeypatch, bug):
    inject_bug(monkeypatch, bug)
    cut = Link(cut=True)
    schedules = [draw(seed, 6, 16.0, 20.0) for seed in range(12)]
    schedules.append((
        set_demand(range(1), 20), Step(2.0, "link", (0,), tuple(range(1, 6)), cut),
        Step(2.0, "link", tuple(range(1, 6)), (0,), cut), set_demand(range(1, 6), 20, 2.0),
    ))  # fmt: skip
    schedules.append((
        set_demand(range(1), 20), Step(3.0, "kill", (1, 2, 3, 4, 5)), set_demand(range(1, 6), 20, 3.1),
        Step(3.2, "start", (1, 2, 3, 4, 5)),
    ))  # fmt: skip
    assert any(CapSimulation(Rule("x", 20, 6), 5).run(schedule, 20.0).excess > 0 for schedule in schedules)
