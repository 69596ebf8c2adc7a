"""Homes, holders and gates by tables and by hypothesis; caps under drawn schedules in virtual time."""

from __future__ import annotations

import contextlib
import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.caps import Mode, Rule
from covetally.caps.connection_limiter import Gate
from covetally.caps.lease_holder import NEXT_NS, OWED_NS, Holder
from covetally.caps.owner import RECALL_NS, WAITS_NS, Asked, Grant, Home, Recall
from covetally.caps.member import CLIENT, RESTS_NS, Cap
from covetally.caps.messages import Kind, Say, decode, encode
from covetally.caps.rule import HOMES, homes
from covetally.interface import SECOND
from covetally.lab.caps import Play
from covetally.rig.schedule import Link, Schedule, Step, draw
from covetally.gossip import MalformedMessageError

SEED = int(os.environ.get("CAPS_SEED", "0"))


@given(st.text(max_size=20), st.integers(1, 300), st.integers(0, 500))
def test_every_unit_has_one_home_and_few_have_all(name, members, amount):
    rule = Rule(name, amount, members)
    parts = [rule.units(member) for member in range(members)]
    assert sum(parts) == amount
    assert len(rule.homes()) == min(amount, members, HOMES)
    assert max(parts) - min(part for part in parts if part or not amount) <= 1


def test_homes_of_different_caps_are_spread():
    counted = [0] * 60
    for number in range(400):
        for home in homes(f"caps.client.w{number}", 60):
            counted[home] += 1
    assert max(counted) < 2 * 400 * HOMES / 60


says = st.builds(Say, st.sampled_from(Kind), *[st.integers(0, 2**32 - 1)] * 3, *[st.integers(0, 65535)] * 4)


@given(says)
def test_a_message_comes_back_as_it_was(say):
    assert decode(encode(say)) == say


@given(st.binary(max_size=40))
def test_bytes_are_a_message_or_damaged(data):
    with contextlib.suppress(MalformedMessageError):
        assert encode(decode(data)) == data[:21]


# --- a home -------------------------------------------------------------------------------------


def home(mode: Mode = Mode.LAPSES, amount: int = 10) -> tuple[Home, int]:
    """A home of all units, its start's fence over, and the time."""
    rule = Rule("x", amount, 4, mode)
    first = rule.homes()[0]
    found = Home(rule, first, 0)
    found.units = amount
    now = rule.fence_ns + 1
    if mode is Mode.NEVER:
        for member in range(4):
            found.ask(now, member, 1, Asked(1, 0, 0))
    return found, now


def test_after_its_start_a_home_lends_nothing_until_what_a_life_before_lent_has_lapsed():
    rule = Rule("x", 10, 4)
    young = Home(rule, rule.homes()[0], 0)
    young.units = 10
    assert young.ask(1, 2, 7, Asked(1, 0, 3))[0].lent == 0
    assert young.ask(2, 3, 7, Asked(1, 2, 0))[0].lent == 2, "what is said to be held is renewed"
    assert young.ask(rule.fence_ns, 2, 7, Asked(2, 0, 1))[0].lent == 1


def test_a_home_that_never_lapses_waits_for_the_word_of_all():
    rule = Rule("x", 10, 4, Mode.NEVER)
    me = rule.homes()[0]
    young = Home(rule, me, 0)
    young.units = 10
    others = [member for member in range(4) if member != me]
    for member in others[:-1]:
        assert young.ask(10 * rule.fence_ns, member, 7, Asked(1, 0, 1))[0].lent == 0
    assert young.unheard(10 * rule.fence_ns) == (others[-1],)
    assert young.ask(10 * rule.fence_ns, others[-1], 7, Asked(1, 3, 1))[0].lent == 4


@pytest.mark.parametrize("mode, lent", [(Mode.LAPSES, 0), (Mode.NEVER, 4)])
def test_what_a_silent_holder_has_is_lent_again_or_not(mode, lent):
    found, now = home(mode)
    found.ask(now, 1, 7, Asked(5, 0, 4))
    found.tick(now + found.rule.fence_ns - 1)
    assert found.lent == 4
    found.tick(now + found.rule.fence_ns)
    assert found.lent == lent


@pytest.mark.parametrize("mode", Mode)
def test_another_life_of_a_holder_frees_what_the_one_before_had_and_a_late_word_of_that_changes_nothing(mode):
    found, now = home(mode)
    found.ask(now, 1, 7, Asked(100, 0, 4))
    assert found.ask(now + 1, 1, 8, Asked(200, 0, 1))[0].lent == 1
    assert found.ask(now + 2, 1, 7, Asked(101, 4, 0)) == []
    assert found.lent == 1 and found.twins == 1


def test_an_ask_takes_what_is_held_for_what_is_there():
    """The grant before it was lost, or is void."""
    found, now = home()
    found.ask(now, 1, 7, Asked(1, 0, 4))
    assert found.ask(now, 1, 7, Asked(2, 0, 4))[0].lent == 4
    assert found.ask(now, 1, 7, Asked(1, 0, 9)) == [], "an older one"
    assert found.lent == 4


def test_who_waits_longest_has_what_comes_free_and_what_rests_is_asked_back():
    found, now = home(amount=2)
    found.ask(now, 1, 7, Asked(1, 0, 2))
    out = found.ask(now + 1, 2, 7, Asked(1, 0, 1))
    assert [o for o in out if isinstance(o, Recall)] == [], "nothing rests"
    out = found.ask(now + 2, 1, 7, Asked(2, 2, 0, 1, SECOND))
    assert Recall(1, 1, busy=False) in out
    out = found.ask(now + 3, 1, 7, Asked(3, 1, 0))
    assert [o for o in out if isinstance(o, Grant) and o.to == 2 and o.lent == 1]


def test_a_cap_that_is_lowered_asks_back_what_is_beyond_it():
    found, now = home(amount=10)
    found.ask(now, 1, 7, Asked(1, 0, 6, 2, 5 * SECOND))
    found.ask(now, 2, 7, Asked(1, 0, 4))
    found.units = 3
    assert found.tick(now + SECOND) == [Recall(1, 6, busy=True), Recall(2, 1, busy=True)]


def test_a_holder_that_says_more_than_it_was_lent_has_what_is_free_and_no_more():
    """It lapsed at its home, and may have been lent to another since."""
    found, now = home(amount=10)
    found.ask(now, 1, 7, Asked(1, 0, 4))
    assert found.ask(now + 1, 1, 7, Asked(2, 6, 0))[0].lent == 6
    found.ask(now + 2, 2, 7, Asked(1, 0, 3))
    assert found.ask(now + 3, 1, 7, Asked(3, 9, 0))[0].lent == 7
    assert found.lent == 10


def test_right_at_the_end_of_its_fence_a_home_lends():
    rule = Rule("x", 10, 4)
    young = Home(rule, rule.homes()[0], 0)
    young.units = 10
    assert young.ask(rule.fence_ns - 1, 1, 7, Asked(1, 0, 1))[0].lent == 0
    assert young.ask(rule.fence_ns, 2, 7, Asked(1, 9, 0))[0].lent == 9


def test_a_holder_is_asked_back_once_in_a_while():
    found, now = home(amount=2)
    found.ask(now, 1, 7, Asked(1, 0, 2))
    found.ask(now, 2, 7, Asked(1, 0, 1))
    assert Recall(1, 1) in found.ask(now, 1, 7, Asked(2, 2, 0, 2, SECOND))
    assert found.tick(now + RECALL_NS - 1) == []
    assert found.tick(now + RECALL_NS) == [Recall(1, 1)]


def test_who_asked_too_long_ago_does_not_wait_any_more():
    found, now = home(amount=2)
    found.ask(now, 1, 7, Asked(1, 0, 2))
    found.ask(now, 2, 7, Asked(1, 0, 1))
    assert found.table(now + WAITS_NS - 1)["waiting"] == 1
    assert found.table(now + WAITS_NS)["waiting"] == 0
    assert [a for a in found.ask(now + WAITS_NS, 1, 7, Asked(2, 0, 0)) if a.to == 2] == []


def test_silent_holders_are_asked_in_the_mode_that_needs_their_word():
    rule = Rule("x", 10, 4, Mode.NEVER)
    found = Home(rule, rule.homes()[0], 0)
    found.units, found._unheard = 10, set()
    others = [member for member in range(4) if member != found.me]
    found.ask(0, others[0], 7, Asked(1, 0, 2))
    found.ask(0, others[1], 7, Asked(1, 0, 0))
    found.ask(rule.lease_ns, others[2], 7, Asked(1, 0, 2))
    assert found.unheard(rule.lease_ns - 1) == ()
    assert found.unheard(rule.lease_ns) == (others[0],)


@pytest.mark.parametrize(
    "after, waits",
    [(Rule("x", 20, 4), False), (Rule("x", 8, 4), False), (Rule("x", 10, 2), True),
     (Rule("x", 10, 4, Mode.NEVER), True)],
)  # fmt: skip
def test_units_that_were_not_at_home_here_are_fenced_and_those_of_a_raised_cap_are_not(after, waits):
    rule = Rule("x", 10, 4)
    found = Home(rule, after.homes()[0], 0)
    now = 3 * rule.fence_ns
    found.change(now, after)
    assert (found.free(now) == 0) == waits
    if after.mode is Mode.LAPSES:
        assert found.free(now + rule.fence_ns) == after.units(found.me)


# --- a holder -----------------------------------------------------------------------------------


def test_a_grant_counts_only_for_the_last_ask_and_until_a_lease_after_it_was_sent():
    rule = Rule("x", 4, 3)
    holder = Holder(rule, 0, 0)
    holder.needs = 2
    ask = holder.tick(SECOND, 0)[0]
    holder.granted(2 * SECOND, ask.to, ask.number - 1, 2, 0)
    assert holder.held(2 * SECOND) == 0
    holder.granted(2 * SECOND, ask.to, ask.number, 2, 0)
    assert holder.held(2 * SECOND) == 2
    assert holder.held(SECOND + rule.lease_ns - 1) == 2 and holder.held(SECOND + rule.lease_ns) == 0


def lent(rule: Rule, now: int, needs: int = 4) -> Holder:
    """A holder that has had all that it asked for."""
    holder = Holder(rule, 0, 0)
    holder.needs = needs
    for ask in holder.tick(now, 0):
        holder.granted(now, ask.to, ask.number, ask.wants, 0)
    return holder


def test_what_is_asked_back_is_not_used_any_more_and_goes_back_once_it_is_closed():
    holder = lent(Rule("x", 4, 3), SECOND)
    held = holder.held(SECOND)
    first = next(iter(holder.table(SECOND)["of"]))
    assert holder.recalled(SECOND, first, 1, in_use=held, closes=1) == []
    assert holder.usable(SECOND) == held - 1 and holder.held(SECOND) == held
    asks = holder.tick(SECOND + 1, in_use=held - 1)
    assert [ask.to for ask in asks if ask.held < 2][0] == first and holder.held(SECOND + 1) == held - 1


def test_what_rested_when_it_was_told_and_is_in_use_again_stays():
    holder = lent(Rule("x", 4, 3), SECOND)
    held = holder.held(SECOND)
    first = next(iter(holder.table(SECOND)["of"]))
    assert holder.recalled(SECOND, first, 2, in_use=held, closes=0) == []
    assert holder.usable(SECOND) == held
    asks = holder.recalled(SECOND, first, 2, in_use=held - 1, closes=0)
    assert [ask.to for ask in asks] == [first] and holder.usable(SECOND) == held - 1


def test_who_needs_no_more_leaves_the_homes_queue():
    holder = Holder(Rule("x", 4, 3), 0, 0)
    holder.needs = 4
    asks = holder.tick(SECOND, 0)
    for ask in asks:
        holder.granted(SECOND, ask.to, ask.number, 0, SECOND)
    holder.needs = 0
    assert [(a.to, a.wants) for a in holder.tick(SECOND + 1, 0)] == [(a.to, 0) for a in sorted(asks)]
    assert holder.tick(SECOND + 2, 0) == [], "once"


def test_who_had_all_that_it_asked_for_stands_in_no_queue():
    holder = lent(Rule("x", 4, 3), SECOND)
    assert holder.held(SECOND) == 4
    assert holder.tick(SECOND + 1, 4) == []


def test_what_was_asked_back_and_is_not_wanted_any_more_is_usable_again():
    holder = lent(Rule("x", 4, 3), SECOND)
    first = next(iter(holder.table(SECOND)["of"]))
    holder.recalled(SECOND, first, 1, in_use=4, closes=4)
    holder.tick(SECOND + OWED_NS - 1, 4)
    assert holder.usable(SECOND + OWED_NS - 1) == 3
    holder.tick(SECOND + OWED_NS, 4)
    assert holder.usable(SECOND + OWED_NS) == 4


def test_who_did_not_get_any_asks_again_when_the_home_said_and_not_before():
    rule = Rule("x", 1, 3)
    holder = Holder(rule, 0, 0)
    holder.needs = 1
    (ask,) = holder.tick(SECOND, 0)
    holder.granted(SECOND, ask.to, ask.number, 0, SECOND)
    assert holder.tick(2 * SECOND - NEXT_NS, 0) == []
    assert [a.wants for a in holder.tick(2 * SECOND, 0)] == [1]


@pytest.mark.parametrize("mode", Mode)
def test_when_units_lapse_is_told_and_they_are_gone_then(mode):
    rule = Rule("x", 4, 3, mode)
    holder = lent(rule, SECOND)
    end = SECOND + rule.lease_ns
    if mode is Mode.NEVER:
        assert holder.lapses_at(SECOND) == 0
        holder.tick(end, 4)
        assert holder.held(end) == 4 and sum(holder.table(end)["of"].values()) == 4
    else:
        assert holder.lapses_at(end - 1) == end and holder.lapses_at(end) == 0
        holder.tick(end, 4)
        assert holder.held(end) == 0 and holder.table(end)["of"] == {}


def test_another_list_has_other_homes_and_whoever_asks_is_answered():
    before, after = Rule("x", 2, 3), Rule("x", 9, 9)
    holder = Holder(before, 0, 0)
    stranger = next(home for home in after.homes() if home not in before.homes())
    (answer,) = holder.queried(SECOND, stranger)
    assert (answer.to, answer.held, answer.wants) == (stranger, 0, 0)
    holder.change(SECOND, after)
    holder.needs = 9
    asked = set()
    for now in range(SECOND, 2 * SECOND, SECOND // 20):
        for ask in holder.tick(now, 0):
            asked.add(ask.to)
            holder.granted(now, ask.to, ask.number, ask.held + ask.wants, 0)
    assert asked == set(after.homes()) and holder.held(2 * SECOND) == 9
    (answer,) = holder.queried(2 * SECOND, stranger)
    assert answer.held == 1


# --- a gate -------------------------------------------------------------------------------------


class Conn:
    def __init__(self) -> None:
        self.surplus = self.closed = self.busy = False

    def silent(self) -> bool:
        return not self.busy

    def evict(self) -> None:
        self.closed = True


MOMENT = RESTS_NS // 3  # between two requests


class Door:
    def __init__(self, most: int | None) -> None:
        self.now, self.most = 0, most
        self.gate = Gate(lambda: self.now, lambda tenant: self.most if tenant == 1 else None, 250)

    def serve(self, conn: Conn, tenant: int = 1) -> int:
        self.now += MOMENT
        hold_off = self.gate.admit(conn, tenant)
        if not hold_off:
            self.gate.idle(conn)
        return hold_off


def test_at_the_cap_the_longest_idle_goes_first_and_then_it_is_refused_at_once():
    door, conns = Door(2), [Conn() for _ in range(4)]
    assert [door.serve(conn) for conn in conns[:2]] == [0, 0]
    door.now += RESTS_NS
    assert door.serve(conns[2]) == 0
    assert [conn.closed for conn in conns] == [True, False, False, False]
    for conn in conns[1:3]:
        door.gate.admit(conn, 1)  # under way now
    assert door.serve(conns[3]) == 250
    assert door.gate.look(door.now, Cap(Rule("x", 2, 3), CLIENT, 1)).wanted == 1
    assert not conns[1].closed and not conns[2].closed


def test_a_request_that_is_on_its_way_on_a_resting_connection_keeps_it():
    door, first, second = Door(1), Conn(), Conn()
    door.serve(first)
    door.now += RESTS_NS
    first.busy = True
    assert door.serve(second) == 250 and not first.closed


def test_a_pause_between_two_requests_is_no_rest_else_two_who_want_the_same_would_close_each_other():
    door, first, second = Door(1), Conn(), Conn()
    for _ in range(10):
        assert door.serve(first) == 0
        assert door.serve(second) == 250
        assert door.gate.look(door.now, Cap(Rule("x", 1, 3), CLIENT, 1)).resting == 0
    door.now += RESTS_NS
    assert door.gate.look(door.now, Cap(Rule("x", 1, 3), CLIENT, 1)).resting == 1
    assert door.serve(second) == 0 and first.closed


def test_a_lowered_cap_closes_what_rests_and_lets_what_is_under_way_end():
    door, conns = Door(3), [Conn() for _ in range(3)]
    for conn in conns:
        door.serve(conn)
    door.gate.admit(conns[2], 1)
    door.most = 0
    door.gate.look(0, Cap(Rule("x", 0, 3), CLIENT, 1))
    assert [conn.closed for conn in conns] == [True, True, False] and conns[2].surplus


def test_tenants_without_a_cap_are_not_bounded_and_others_do_not_take_their_places():
    door = Door(1)
    assert [door.serve(Conn(), tenant=0) for _ in range(50)] == [0] * 50
    assert door.serve(Conn()) == 0


# --- all together, in virtual time ---------------------------------------------------------------


def wants(members: range, amount: float, at: float = 0.0) -> Step:
    return Step(at, "demand", tuple(members), amount=amount)


@pytest.mark.parametrize("mode", Mode)
@pytest.mark.parametrize("size", [12, 60])
def test_a_demand_that_moves_has_nine_tenths_of_the_cap_within_a_second(mode, size):
    """Half of which is the rest of the connections that are left open elsewhere."""
    few, others = range(5), range(size - 5, size)
    play = Play(Rule("x", 20, size, mode), SEED)
    found = play.run((wants(few, 20.0), wants(few, 0.0, 6.0), wants(others, 20.0, 6.0)), 9.0)
    assert sum(member.open for member in play.members[-5:]) == 20
    assert 0 < found.moved_s <= 1.0, SEED


@pytest.mark.parametrize("mode", Mode)
@pytest.mark.parametrize("size, cap, who", [(60, 20, range(5)), (60, 20, range(60)), (24, 200, range(3))])
def test_a_cap_is_usable_whole_and_moves_with_the_demand(mode, size, cap, who):
    play = Play(Rule("x", cap, size, mode), SEED + 1)
    others = range(size - len(who), size) if len(who) < size else who
    schedule = (wants(who, cap), wants(who, 0, 6.0), wants(others, cap, 6.0))
    found = play.run(schedule, 11.0)
    assert found.over == 0
    assert sum(member.open for member in play.members) >= 0.9 * cap
    assert found.moved_s < 2.5
    assert found.most_datagrams_per_s < 80


@pytest.mark.parametrize("mode", Mode)
@pytest.mark.parametrize("seed", range(12))
def test_no_drawn_schedule_of_faults_oversteps_a_cap(mode, seed):
    size = (4, 6, 12)[seed % 3]
    found = Play(Rule("x", 20, size, mode), SEED + seed).run(draw(SEED + seed, size, 16.0, 20.0), 20.0)
    assert found.over == 0, f"seed {SEED + seed}"
    assert found.unused <= 2, f"seed {SEED + seed}"


def storm_of_faults() -> Schedule:
    """A holder stopped past its lease and continued under load, others wanting all of it meanwhile."""
    return (
        wants(range(2), 20), Step(2.0, "stop", (0,)), wants(range(2, 6), 20, 2.5), Step(16.0, "go_on", (0,)),
        Step(17.0, "kill", (1,)), Step(18.0, "start", (1,)),
    )  # fmt: skip


@pytest.mark.parametrize("mode", Mode)
def test_a_holder_that_was_stopped_past_its_lease_closes_what_it_has_no_more_before_anything_new(mode):
    found = Play(Rule("x", 20, 6, mode), SEED + 3).run(storm_of_faults(), 24.0)
    assert found.over == 0


def test_one_that_leaves_hands_its_units_back_at_once():
    play = Play(Rule("x", 20, 6, Mode.NEVER), SEED + 2)
    schedule = (wants(range(1), 20), Step(3.0, "leave", (0,)), wants(range(1, 2), 20, 3.0))
    play.run(schedule, 4.0)
    at_home = play.rule.units(0)
    assert play.members[1].open >= 0.9 * (20 - at_home), "its own home's units are away with it"


def break_rule(monkeypatch, fault: str) -> None:
    if fault == "a home lends right after its start":
        made = Home.__init__

        def careless(self, rule, me, now):
            made(self, rule, me, now)
            self._free_from = now

        monkeypatch.setattr(Home, "__init__", careless)
    elif fault == "a holder does not heed its lease":
        monkeypatch.setattr(Holder, "_counts", lambda self, loan, now: True)
        monkeypatch.setattr(Holder, "lapses_at", lambda self, now: 0)
        tick = Holder.tick

        def keeps(self, now, in_use, resting=0):
            for loan in self._loans.values():
                loan.lapses = 2**62
            return tick(self, now, in_use, resting)

        monkeypatch.setattr(Holder, "tick", keeps)
    else:
        monkeypatch.setattr(Rule, "fence_ns", property(lambda self: self.lease_ns // 4))


@pytest.mark.parametrize(
    "fault",
    ["a home lends right after its start", "a holder does not heed its lease", "a home lends again too soon"],
)
def test_planted_faults_are_found(monkeypatch, fault):
    break_rule(monkeypatch, fault)
    cut = Link(cut=True)
    schedules = [draw(seed, 6, 16.0, 20.0) for seed in range(12)]
    schedules.append((
        wants(range(1), 20), Step(2.0, "link", (0,), tuple(range(1, 6)), cut),
        Step(2.0, "link", tuple(range(1, 6)), (0,), cut), wants(range(1, 6), 20, 2.0),
    ))  # fmt: skip
    schedules.append((
        wants(range(1), 20), Step(3.0, "kill", (1, 2, 3, 4, 5)), wants(range(1, 6), 20, 3.1),
        Step(3.2, "start", (1, 2, 3, 4, 5)),
    ))  # fmt: skip
    assert any(Play(Rule("x", 20, 6), 5).run(schedule, 20.0).over > 0 for schedule in schedules)
