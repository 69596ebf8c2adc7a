"""Orders, accounts, permits and runs by tables and by hypothesis; no floor is broken by any wave."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from covetally.drainplan import Account, FloorError, Floors, Kind, Order, PodError, State, Unit, plan
from covetally.drainplan.account import lacks
from covetally.drainplan.errors import EpochError, PermitError, UnitsError
from covetally.drainplan.permits import MOST_ENDED, Permits, Stage, next_epoch
from covetally.drainplan.plan import lower_bound
from covetally.drainplan.run import Phase, Run
from covetally.drainplan.units import checked

S, N = Kind.SIDECAR, Kind.NODE


def account(units: list[Unit], floors: Floors | None = None, now: float = 0.0) -> Account:
    found = Account({unit.name: unit for unit in units}, floors or Floors())
    for unit in units:
        found.seen(now, unit.name, True)
    return found


def fleet(count: int = 6, zones: str = "abc", **more) -> list[Unit]:
    return [Unit(f"u{i}", zones[i % len(zones)], **more) for i in range(count)]


def half(units: list[Unit]) -> Floors:
    zones = {unit.zone for unit in units}
    return Floors({(S, z): sum(u.capacity for u in units if u.zone == z) / 2 for z in zones})


# --- orders -------------------------------------------------------------------------------------

drawn_units = st.lists(
    st.builds(
        lambda zone, kind, capacity, pod, took: (zone, kind, float(capacity), pod, float(took)),
        st.sampled_from("abc"), st.sampled_from([S, N]), st.integers(1, 4), st.sampled_from(["", "p", "q"]),
        st.sampled_from([10, 20, 60]),
    ), min_size=1, max_size=14,
)  # fmt: skip


def made(rows, share: float, after: float) -> Account:
    units = [Unit(f"u{i}", z, k, c, pod if k is N else "", 5.0, t) for i, (z, k, c, pod, t) in enumerate(rows)]
    found = account(units)
    have = found.capacity(0.0)
    parts = [amount for (kind, _), amount in have.items() if kind is S]
    found.floors = Floors(
        {key: share * amount for key, amount in have.items()}, {},
        {S: after * (sum(parts) - max(parts))} if len(parts) > 1 else {},
    )  # fmt: skip
    return found


@settings(deadline=None, max_examples=150)
@given(drawn_units, st.floats(0, 0.9), st.floats(0, 0.9))
def test_no_wave_breaks_a_floor_or_takes_a_pods_last_node_and_all_go_once(rows, share, after):
    found = made(rows, share, after)
    try:
        order = plan(found, found.units, 0.0)
    except (FloorError, PodError) as error:
        assert error.unit in found.units and error.message and error.remedy
        return
    assert sorted(itertools.chain(*(wave.units for wave in order.waves))) == sorted(found.units)
    for wave in order.waves:
        left = found.capacity(0.0)
        pods = found.pods(0.0)
        for name in wave.units:
            unit = found.units[name]
            left[unit.kind, unit.zone] -= unit.capacity
            if unit.pod:
                pods[unit.pod] -= 1
        assert lacks(left, found.floors) == []
        assert all(count > 0 for count in pods.values())
        assert wave.seconds == max(found.units[name].took_s for name in wave.units)
    assert order.seconds >= order.bound_s - 1e-9


def exact(found: Account) -> float:
    """The least time of any order, by trying all ways to part a few units into waves."""
    units = list(found.units.values())
    best = float("inf")

    def fits(group: list[Unit]) -> bool:
        left, pods = found.capacity(0.0), found.pods(0.0)
        for unit in group:
            left[unit.kind, unit.zone] -= unit.capacity
            if unit.pod:
                pods[unit.pod] -= 1
        return not lacks(left, found.floors) and all(count > 0 for count in pods.values())

    def part(number: int, groups: list[list[Unit]]) -> None:
        nonlocal best
        if number == len(units):
            best = min(best, sum(max(u.took_s for u in g) for g in groups))
            return
        for i in range(len(groups) + 1):
            trial = [*groups, []] if i == len(groups) else groups
            grown = [g + [units[number]] if j == i else g for j, g in enumerate(trial)]
            if fits(grown[i]):
                part(number + 1, grown)

    part(0, [])
    return best


@settings(deadline=None, max_examples=40)
@given(drawn_units.filter(lambda rows: len(rows) <= 6), st.floats(0, 0.7))
def test_the_bound_is_one_and_the_order_is_near_the_optimum(rows, share):
    found = made(rows, share, 0.0)
    try:
        order = plan(found, found.units, 0.0)
    except (FloorError, PodError):
        return
    least = exact(found)
    assert order.bound_s <= least + 1e-9
    assert order.seconds <= 1.1 * least + 1e-9


def test_units_of_like_times_go_together():
    units = [Unit(f"{n}{i}", "a", return_s=took) for n, took in (("s", 5.0), ("l", 55.0)) for i in range(2)]
    order = plan(account(units, half(units)), [u.name for u in units], 0.0)
    assert [set(wave.units) for wave in order.waves] == [{"s0", "s1"}, {"l0", "l1"}]
    assert order.seconds == order.bound_s == 70.0
    assert "narrowest: sidecars in a, room for 2" in order.text()[-1]


def test_a_floor_that_leaves_no_room_is_named_with_what_lacks():
    units = fleet(4, "ab")
    with pytest.raises(FloorError) as error:
        plan(account(units, Floors({(S, "b"): 1.5})), ["u0", "u1"], 0.0)
    assert (error.value.unit, error.value.floor, error.value.lacking) == ("u1", 1.5, 0.5)
    assert "sidecars in b" in error.value.as_line()


def test_a_pods_last_node_never_goes_and_two_of_one_pod_go_in_turn():
    nodes = [Unit(f"n{i}", "a", N, pod=f"p{i // 2}") for i in range(4)]
    order = plan(account(nodes), [n.name for n in nodes], 0.0)
    assert [len(wave.units) for wave in order.waves] == [2, 2]
    alone = account(nodes)
    alone.lost(1.0, "n1")
    with pytest.raises(PodError):
        plan(alone, ["n0"], 1.0)


def test_who_is_out_already_adds_up_against_the_same_floors():
    units = fleet(4, "a")
    found = account(units, Floors({(S, "a"): 2.0}))
    assert len(plan(found, ["u0", "u1"], 0.0).waves) == 1
    found.seen(1.0, "u3", False, "crashed")
    assert len(plan(found, ["u0", "u1"], 1.0).waves) == 2
    found.lost(2.0, "u2")
    with pytest.raises(FloorError):
        plan(found, ["u0"], 2.0)


def test_after_the_loss_of_any_one_zone_enough_is_left():
    units = fleet(6, "abc")
    order = plan(account(units, Floors({}, {}, {S: 3.0})), [u.name for u in units], 0.0)
    assert [len(wave.units) for wave in order.waves] == [1] * 6, "of six in three zones a loss takes two"


def test_two_thousand_units_are_planned_near_the_bound():
    units = [Unit(f"u{i}", "abc"[i % 3], return_s=float(10 + i % 3)) for i in range(1400)]
    found = account(units, Floors({(S, z): 0.9 * 467 for z in "abc"}))
    order: Order = plan(found, found.units, 0.0)
    assert order.seconds <= 1.1 * lower_bound(units, found.capacity(0.0), {}, found.floors)


@pytest.mark.parametrize("bad", [Unit("u0", "a", capacity=-1.0), Unit("", "a"), Unit("u1", "a"),
                                 Unit("u2", "a", warm_s=float("nan"))])  # fmt: skip
def test_units_that_mean_nothing_are_refused(bad):
    with pytest.raises(UnitsError):
        checked([Unit("u1", "b"), bad], Floors())


# --- the account ----------------------------------------------------------------------------------


def test_the_account_goes_by_its_table():
    units = [Unit("u0", "a", warm_s=10.0), Unit("u1", "a")]
    found = Account({u.name: u for u in units}, Floors())
    assert found.entry("u0").state is State.UNKNOWN and found.warmth(0.0, "u0") == 0.0
    found.seen(1.0, "u0", True)
    found.going(2.0, "u0", "order 1")
    assert found.warmth(2.0, "u0") == 0.0
    found.seen(3.0, "u0", False)
    found.lost(3.5, "u0")
    assert found.entry("u0").state is State.OUT and found.entry("u0").planned
    found.seen(4.0, "u0", True)
    assert found.entry("u0").state is State.BACK
    assert found.warmth(4.0, "u0") == pytest.approx(0.1) and found.warmth(9.0, "u0") == pytest.approx(0.55)
    found.seen(9.0, "u0", True)
    assert found.entry("u0").state is State.BACK
    found.seen(14.0, "u0", True)
    assert found.entry("u0").state is State.IN and not found.entry("u0").planned
    found.lost(15.0, "u0")
    found.seen(16.0, "u0", True)
    assert found.entry("u0").state is State.IN, "its link was cut, not its process"


# --- permits --------------------------------------------------------------------------------------


def test_a_permit_is_given_once_under_floors_and_ends_when_its_holder_is_seen_back():
    units = fleet(4, "a")
    found, permits = account(units, Floors({(S, "a"): 3.0})), Permits(1)
    permits.give(1.0, found, "u0", "anna", "order 1")
    with pytest.raises(PermitError, match="going out"):
        permits.give(1.0, found, "u0", "anna", "order 1")
    with pytest.raises(PermitError, match="floor is 3"):
        permits.give(1.0, found, "u1", "anna", "order 1")
    assert found.entry("u1").state is State.IN
    permits.told("u0")
    found.seen(9999.0, "u0", False)
    assert permits.look(found) == [] and permits.open[0].stage is Stage.OUT, "never by time alone"
    found.seen(10000.0, "u0", True)
    permits.look(found)
    found.seen(10001.0, "u0", True)
    assert [p.unit for p in permits.look(found)] == ["u0"] and permits.open == []


@pytest.mark.parametrize("told", [False, True])
def test_a_holder_that_is_killed_between_its_permit_and_its_step_does_not_hold_the_permit_for_good(told):
    found, permits = account(fleet(4, "a")), Permits(1)
    permits.give(1.0, found, "u0", "anna", "x")
    if told:
        permits.told("u0")
    found.lost(2.0, "u0")
    for now in (3.0, 4.0):
        found.seen(now, "u0", True)
    assert [p.unit for p in permits.look(found)] == ["u0"] and permits.open == []


def test_permits_outlive_the_agent_and_a_higher_epoch_stops_it():
    found, permits = account(fleet(4, "a")), Permits(3)
    permits.give(1.0, found, "u0", "anna", "order 1")
    again = Permits(next_epoch([3]), permits.text())
    assert again.open == permits.open and again.epoch == 4
    again.hear(9)
    with pytest.raises(EpochError):
        again.give(2.0, found, "u1", "anna", "order 1")


def test_one_that_was_never_told_may_be_taken_back_and_one_that_was_may_not():
    found, permits = account(fleet(4, "a")), Permits(1)
    permits.give(1.0, found, "u0", "anna", "x")
    permits.give(1.0, found, "u1", "anna", "x")
    permits.told("u1")
    assert permits.take_back(2.0, found, "u0", "halt") and found.entry("u0").state is State.IN
    assert not permits.take_back(2.0, found, "u1", "halt") and found.entry("u1").state is State.GOING
    assert permits.write_off("u1", "anna").ended == "" and permits.open == []
    with pytest.raises(PermitError):
        permits.write_off("u1", "anna")


# --- a run ----------------------------------------------------------------------------------------


class Played:
    """A run over a fleet that does as a test says."""

    def __init__(self, count: int = 6, zones: str = "abc") -> None:
        self.units = fleet(count, zones)
        self.account = account(self.units, half(self.units))
        self.permits = Permits(1)
        self.run = Run(1, "anna", "x", [u.name for u in self.units])
        self.now = 1.0

    def step(self, line_up: bool = False) -> list[str]:
        self.now += 1.0
        self.permits.look(self.account)
        wave = self.run.next(self.now, self.account, self.permits, line_up)
        for unit in wave:
            self.permits.give(self.now, self.account, unit, "anna", "x")
            self.run.gone(unit)
            self.permits.told(unit)
        return wave

    def back(self, *names: str) -> None:
        for serving in (False, True, True):
            self.now += 1.0
            for name in names:
                self.account.seen(self.now, name, serving)
            self.permits.look(self.account)


def test_waves_go_one_after_the_other_until_all_are_back():
    played = Played()
    waves = []
    while wave := played.step():
        assert played.account.lacks(played.now) == []
        assert played.step() == [] and played.run.phase is Phase.WAITING
        played.back(*wave)
        waves.append(wave)
    assert [len(wave) for wave in waves] == [3, 3]
    played.step()
    assert played.run.phase is Phase.DONE
    assert Run.of(played.run.text()) == played.run


@pytest.mark.parametrize("cause", ["the overload line", "a floor", "sight", "the last one does not come back"])
def test_nothing_new_goes_while(cause):
    played = Played(9)
    first = played.step()
    if cause != "the last one does not come back":
        played.back(*first)
    if cause == "the overload line":
        assert played.step(line_up=True) == [] and "overload line" in played.run.reason
    elif cause == "a floor":
        for name in ("u0", "u3"):
            played.account.seen(played.now, name, False, "a zone was lost")
        assert played.step() == [] and "below the floor" in played.run.reason
        for serving in (True, True):
            for name in ("u0", "u3"):
                played.account.seen(played.now, name, serving)
    elif cause == "sight":
        played.account.floors = Floors()
        for name in ("u0", "u3"):
            played.account.lost(played.now, name)
        assert played.step() == [] and "out of sight" in played.run.reason
        for name in ("u0", "u3"):
            played.account.seen(played.now, name, True)
    else:
        played.back(*first[1:])
        assert played.step() == [] and "not back" in played.run.reason
        played.back(first[0])
    assert played.step(), "and goes on by itself"


def test_it_halts_at_the_first_refusal_and_goes_on_or_back_by_an_operator_s_word():
    played = Played()
    wave = played.step()
    played.run.fail(wave[0], "may_restart is not set")
    played.back(*wave)
    assert played.step() == [] and played.run.phase is Phase.HALTED and wave[0] in played.run.failed
    played.run.resume()
    assert played.step()
    played.run.back("enough")
    assert played.step() == [] and played.run.phase is Phase.BACK and played.run.left == []
    played.back(*[p.unit for p in played.permits.open])
    played.step()
    assert played.run.phase is Phase.DONE
    with pytest.raises(PermitError):
        played.run.resume()


events = st.lists(st.tuples(st.sampled_from(["step", "line", "out", "lost", "back", "halt", "resume", "agent"]),
                            st.integers(0, 5)), max_size=40)  # fmt: skip


@settings(deadline=None, max_examples=120)
@given(events)
def test_whatever_happens_a_permit_breaks_no_floor_and_nobody_goes_twice(steps):
    played = Played()
    given_to: list[str] = []
    for what, number in steps:
        name = f"u{number}"
        if what in ("step", "line"):
            before = played.account.lacks(played.now)
            wave = played.step(line_up=what == "line")
            given_to += wave
            assert not wave or (what == "step" and not before)
            assert not wave or not played.account.lacks(played.now)
        elif what == "out":
            played.account.seen(played.now, name, False, "crashed")
        elif what == "lost":
            played.account.lost(played.now, name)
        elif what == "back":
            played.back(name)
        elif what == "halt":
            played.run.halt("x")
        elif what == "resume" and played.run.phase not in (Phase.BACK, Phase.DONE):
            played.run.resume()
        else:  # the agent dies, and another goes on from what is kept
            played.run = Run.of(played.run.text())
            played.permits = Permits(next_epoch([played.permits.epoch]), played.permits.text())
    assert len(given_to) == len(set(given_to))


def careless(found: Account, names, now: float) -> Order:
    """An order as if there were no floors."""
    return plan(account(list(found.units.values())), names, now)


@pytest.mark.parametrize("fault", ["out counts as in", "no wait for the last wave", "floors of the plan alone"])
def test_planted_faults_are_found(monkeypatch, fault):
    if fault == "out counts as in":
        monkeypatch.setattr(Account, "warmth", lambda self, now, name: 1.0)
    elif fault == "no wait for the last wave":
        monkeypatch.setattr(Run, "_waits", lambda self, now, account, mine, line_up: "")
        monkeypatch.setattr("covetally.drainplan.run.plan", careless)
    else:
        monkeypatch.setattr("covetally.drainplan.permits.Account.lacks", lambda self, now: [])
        monkeypatch.setattr(Run, "_waits", lambda self, now, account, mine, line_up: "")
        monkeypatch.setattr("covetally.drainplan.run.plan", careless)
    played = Played(9)
    played.account.seen(1.0, "u0", False, "crashed")

    def left() -> list[int]:
        states = [(u.zone, played.account.entry(u.name).state) for u in played.units]
        return [sum(zone == z and state is State.IN for zone, state in states) for z in "abc"]

    broken = False
    for _ in range(4):
        try:
            played.step()
        except PermitError:
            broken = True  # the second look finds what the first should have
        broken = broken or min(left()) < 1.5
    assert broken


# --- what stands in a run's way, and is named -------------------------------------------------------


def test_one_that_is_out_by_another_cause_is_named_and_not_waited_for():
    played = Played(6)
    played.account.seen(1.0, "u0", False, "pulled")
    played.account.floors = Floors()
    wave = played.step()
    assert "u0" not in wave and "u0" not in played.run.left
    assert played.run.failed == {"u0": "out already, by another cause"}


def test_an_order_whose_next_step_breaks_a_floor_waits_and_goes_on_when_it_does_not():
    played = Played(3)
    assert played.step() == [] and played.run.phase is Phase.WAITING
    assert "floor" in played.run.reason
    played.account.floors = Floors()
    assert len(played.step()) == 3
    assert played.run.phase is Phase.GOING and played.run.reason == ""


def test_an_order_whose_units_are_all_out_of_sight_waits_for_them_by_name():
    played = Played(1)
    played.account.floors, played.run.most_unknown = Floors(), 1.0
    played.account.lost(1.0, "u0")
    assert played.step() == [] and played.run.phase is Phase.WAITING
    assert played.run.reason == "not in now: u0"
    played.account.seen(2.0, "u0", True)
    assert played.step() == ["u0"]


def test_of_a_pod_of_two_one_goes_and_the_last_stays():
    units = [Unit("n0", "a", N, 1.0, "p"), Unit("n1", "a", N, 1.0, "p")]
    found, permits = account(units), Permits(1)
    permits.give(0.0, found, "n0", "anna", "x")
    with pytest.raises(PermitError, match="last node in of pod p"):
        permits.give(0.0, found, "n1", "anna", "x")


def test_ended_permits_are_kept_in_a_bounded_number():
    found, permits = account(fleet(2)), Permits(1)
    for _ in range(MOST_ENDED + 5):
        permits.give(0.0, found, "u0", "anna", "x")
        permits.told("u0")
        for serving in (False, True, True):
            found.seen(1.0, "u0", serving)
            permits.look(found)
    permits.give(0.0, found, "u0", "anna", "x")
    assert len(permits.table()) == MOST_ENDED + 1 and len(permits.open) == 1


@pytest.mark.parametrize(
    "floors, where, left",
    [(Floors({(S, "a"): 2.0}), "a", 1.0), (Floors({}, {S: 3.0}), "the fleet", 2.0),
     (Floors({}, {}, {S: 2.0}), "after the loss", 1.0)],
)  # fmt: skip
def test_a_floor_that_does_not_hold_is_named_and_one_that_just_holds_is_not(floors, where, left):
    (lack,) = lacks({(S, "a"): 1.0, (S, "b"): 1.0}, floors)
    assert where in lack.where
    assert lack.left == left
    assert lacks({(S, "a"): 2.0, (S, "b"): 2.0}, floors) == []


def test_one_that_is_back_says_why_it_was_gone_where_that_is_known():
    found = account(fleet(2, warm_s=10.0))
    for name, cause in (("u0", ""), ("u1", "pulled")):
        found.seen(1.0, name, False)
        found.seen(2.0, name, True, cause)
    assert [found.entry(name).cause for name in ("u0", "u1")] == ["back, not yet warm", "pulled"]
