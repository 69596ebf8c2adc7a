"""Tests of wave plans, unit states, permits and runs; no wave may break a floor."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from covetally.drainplan import FleetState, FloorError, Floors, Kind, PodError, Unit, UnitState, WavePlan, plan
from covetally.drainplan.fleet_state import floor_violations
from covetally.drainplan.errors import EpochError, PermitError, UnitsError
from covetally.drainplan.permits import MAX_ENDED, Permits, Stage, next_epoch
from covetally.drainplan.plan import lower_bound
from covetally.drainplan.run import Phase, DrainRun
from covetally.drainplan.units import validate

SIDECAR, NODE = Kind.SIDECAR, Kind.NODE


def fleet_state(units: list[Unit], floors: Floors | None = None, now: float = 0.0) -> FleetState:
    """Return the state of a fleet in which all units are in service."""
    fleet = FleetState({unit.name: unit for unit in units}, floors or Floors())
    for unit in units:
        fleet.observe(now, unit.name, True)
    return fleet


def some_units(count: int = 6, zones: str = "abc", **more) -> list[Unit]:
    return [Unit(f"u{i}", zones[i % len(zones)], **more) for i in range(count)]


def half_floors(units: list[Unit]) -> Floors:
    """Return floors of half the capacity of each zone."""
    zones = {unit.zone for unit in units}
    return Floors({(SIDECAR, z): sum(u.capacity for u in units if u.zone == z) / 2 for z in zones})


# --- plans --------------------------------------------------------------------------------------

unit_rows = st.lists(
    st.builds(
        lambda zone, kind, capacity, pod, took: (zone, kind, float(capacity), pod, float(took)),
        st.sampled_from("abc"), st.sampled_from([SIDECAR, NODE]), st.integers(1, 4),
        st.sampled_from(["", "p", "q"]), st.sampled_from([10, 20, 60]),
    ), min_size=1, max_size=14,
)  # fmt: skip


def fleet_of(rows, share: float, after: float) -> FleetState:
    """Return a fleet with floors of `share` of each zone, and of `after` of the sidecars left after a loss."""
    units = [Unit(f"u{i}", z, k, c, pod if k is NODE else "", 5.0, t) for i, (z, k, c, pod, t) in enumerate(rows)]
    fleet = fleet_state(units)
    have = fleet.capacity(0.0)
    parts = [amount for (kind, _), amount in have.items() if kind is SIDECAR]
    fleet.floors = Floors(
        {key: share * amount for key, amount in have.items()}, {},
        {SIDECAR: after * (sum(parts) - max(parts))} if len(parts) > 1 else {},
    )  # fmt: skip
    return fleet


@settings(deadline=None, max_examples=150)
@given(unit_rows, st.floats(0, 0.9), st.floats(0, 0.9))
def test_waves_keep_floors_and_pods_and_have_each_unit_once(rows, share, after):
    fleet = fleet_of(rows, share, after)
    try:
        planned = plan(fleet, fleet.units, 0.0)
    except (FloorError, PodError) as error:
        assert error.unit in fleet.units and error.message and error.remedy
        return
    assert sorted(itertools.chain(*(wave.units for wave in planned.waves))) == sorted(fleet.units)
    for wave in planned.waves:
        remaining = fleet.capacity(0.0)
        pods = fleet.nodes_by_pod(0.0)
        for name in wave.units:
            unit = fleet.units[name]
            remaining[unit.kind, unit.zone] -= unit.capacity
            if unit.pod:
                pods[unit.pod] -= 1
        assert floor_violations(remaining, fleet.floors) == []
        assert all(count > 0 for count in pods.values())
        assert wave.seconds == max(fleet.units[name].outage_s for name in wave.units)
    assert planned.seconds >= planned.bound_s - 1e-9


def optimum_s(fleet: FleetState) -> float:
    """Return the least time of any plan, by trying all partitions of a few units into waves."""
    units = list(fleet.units.values())
    best = float("inf")

    def fits(group: list[Unit]) -> bool:
        remaining, pods = fleet.capacity(0.0), fleet.nodes_by_pod(0.0)
        for unit in group:
            remaining[unit.kind, unit.zone] -= unit.capacity
            if unit.pod:
                pods[unit.pod] -= 1
        return not floor_violations(remaining, fleet.floors) and all(count > 0 for count in pods.values())

    def assign(number: int, groups: list[list[Unit]]) -> None:
        nonlocal best
        if number == len(units):
            best = min(best, sum(max(u.outage_s for u in g) for g in groups))
            return
        for i in range(len(groups) + 1):
            trial = [*groups, []] if i == len(groups) else groups
            grown = [g + [units[number]] if j == i else g for j, g in enumerate(trial)]
            if fits(grown[i]):
                assign(number + 1, grown)

    assign(0, [])
    return best


@settings(deadline=None, max_examples=40)
@given(unit_rows.filter(lambda rows: len(rows) <= 6), st.floats(0, 0.7))
def test_bound_is_valid_and_the_plan_is_near_the_optimum(rows, share):
    fleet = fleet_of(rows, share, 0.0)
    try:
        planned = plan(fleet, fleet.units, 0.0)
    except (FloorError, PodError):
        return
    least = optimum_s(fleet)
    assert planned.bound_s <= least + 1e-9
    assert planned.seconds <= 1.1 * least + 1e-9


def test_units_with_similar_times_share_a_wave():
    units = [Unit(f"{n}{i}", "a", return_s=took) for n, took in (("s", 5.0), ("l", 55.0)) for i in range(2)]
    planned = plan(fleet_state(units, half_floors(units)), [u.name for u in units], 0.0)
    assert [set(wave.units) for wave in planned.waves] == [{"s0", "s1"}, {"l0", "l1"}]
    assert planned.seconds == planned.bound_s == 70.0
    assert "bottleneck: sidecars in a, room for 2" in planned.describe()[-1]


def test_floor_error_names_the_floor_and_the_shortfall():
    units = some_units(4, "ab")
    with pytest.raises(FloorError) as error:
        plan(fleet_state(units, Floors({(SIDECAR, "b"): 1.5})), ["u0", "u1"], 0.0)
    assert (error.value.unit, error.value.floor, error.value.shortfall) == ("u1", 1.5, 0.5)
    assert "sidecars in b" in error.value.as_line()


def test_last_node_of_a_pod_is_not_drained_and_two_of_one_pod_take_turns():
    nodes = [Unit(f"n{i}", "a", NODE, pod=f"p{i // 2}") for i in range(4)]
    planned = plan(fleet_state(nodes), [n.name for n in nodes], 0.0)
    assert [len(wave.units) for wave in planned.waves] == [2, 2]
    alone = fleet_state(nodes)
    alone.lose_contact(1.0, "n1")
    with pytest.raises(PodError):
        plan(alone, ["n0"], 1.0)


def test_units_that_are_already_out_count_against_the_same_floors():
    units = some_units(4, "a")
    fleet = fleet_state(units, Floors({(SIDECAR, "a"): 2.0}))
    assert len(plan(fleet, ["u0", "u1"], 0.0).waves) == 1
    fleet.observe(1.0, "u3", False, "crashed")
    assert len(plan(fleet, ["u0", "u1"], 1.0).waves) == 2
    fleet.lose_contact(2.0, "u2")
    with pytest.raises(FloorError):
        plan(fleet, ["u0"], 2.0)


def test_floor_after_loss_holds_for_the_loss_of_any_one_zone():
    units = some_units(6, "abc")
    planned = plan(fleet_state(units, Floors({}, {}, {SIDECAR: 3.0})), [u.name for u in units], 0.0)
    assert [len(wave.units) for wave in planned.waves] == [1] * 6, "of six units in three zones a loss takes two"


def test_plan_of_1400_units_is_near_the_bound():
    units = [Unit(f"u{i}", "abc"[i % 3], return_s=float(10 + i % 3)) for i in range(1400)]
    fleet = fleet_state(units, Floors({(SIDECAR, z): 0.9 * 467 for z in "abc"}))
    planned: WavePlan = plan(fleet, fleet.units, 0.0)
    assert planned.seconds <= 1.1 * lower_bound(units, fleet.capacity(0.0), {}, fleet.floors)


@pytest.mark.parametrize("bad", [Unit("u0", "a", capacity=-1.0), Unit("", "a"), Unit("u1", "a"),
                                 Unit("u2", "a", warm_s=float("nan"))])  # fmt: skip
def test_invalid_units_are_rejected(bad):
    with pytest.raises(UnitsError):
        validate([Unit("u1", "b"), bad], Floors())


# --- unit states ----------------------------------------------------------------------------------


def test_unit_states_change_as_documented():
    units = [Unit("u0", "a", warm_s=10.0), Unit("u1", "a")]
    fleet = FleetState({u.name: u for u in units}, Floors())
    assert fleet.status_of("u0").state is UnitState.UNKNOWN and fleet.available_fraction(0.0, "u0") == 0.0
    fleet.observe(1.0, "u0", True)
    fleet.mark_draining(2.0, "u0", "order 1")
    assert fleet.available_fraction(2.0, "u0") == 0.0
    fleet.observe(3.0, "u0", False)
    fleet.lose_contact(3.5, "u0")
    assert fleet.status_of("u0").state is UnitState.OUT and fleet.status_of("u0").planned
    fleet.observe(4.0, "u0", True)
    assert fleet.status_of("u0").state is UnitState.RETURNING
    assert fleet.available_fraction(4.0, "u0") == pytest.approx(0.1) and fleet.available_fraction(
        9.0, "u0"
    ) == pytest.approx(0.55)
    fleet.observe(9.0, "u0", True)
    assert fleet.status_of("u0").state is UnitState.RETURNING
    fleet.observe(14.0, "u0", True)
    assert fleet.status_of("u0").state is UnitState.IN_SERVICE and not fleet.status_of("u0").planned
    fleet.lose_contact(15.0, "u0")
    fleet.observe(16.0, "u0", True)
    assert fleet.status_of("u0").state is UnitState.IN_SERVICE, "its link was interrupted, not its process"


# --- permits --------------------------------------------------------------------------------------


def test_permit_is_issued_once_under_floors_and_ends_when_its_unit_is_back():
    units = some_units(4, "a")
    fleet, permits = fleet_state(units, Floors({(SIDECAR, "a"): 3.0})), Permits(1)
    permits.issue(1.0, fleet, "u0", "anna", "order 1")
    with pytest.raises(PermitError, match="going out"):
        permits.issue(1.0, fleet, "u0", "anna", "order 1")
    with pytest.raises(PermitError, match="floor is 3"):
        permits.issue(1.0, fleet, "u1", "anna", "order 1")
    assert fleet.status_of("u1").state is UnitState.IN_SERVICE
    permits.mark_notified("u0")
    fleet.observe(9999.0, "u0", False)
    assert permits.reconcile(fleet) == [] and permits.open[0].stage is Stage.OUT, (
        "no permit ends because time has passed"
    )
    fleet.observe(10000.0, "u0", True)
    permits.reconcile(fleet)
    fleet.observe(10001.0, "u0", True)
    assert [p.unit for p in permits.reconcile(fleet)] == ["u0"] and permits.open == []


@pytest.mark.parametrize("notified", [False, True])
def test_permit_ends_for_a_holder_that_was_killed_before_it_could_act(notified):
    fleet, permits = fleet_state(some_units(4, "a")), Permits(1)
    permits.issue(1.0, fleet, "u0", "anna", "x")
    if notified:
        permits.mark_notified("u0")
    fleet.lose_contact(2.0, "u0")
    for now in (3.0, 4.0):
        fleet.observe(now, "u0", True)
    assert [p.unit for p in permits.reconcile(fleet)] == ["u0"] and permits.open == []


def test_permits_survive_the_agent_and_a_higher_epoch_stops_it():
    fleet, permits = fleet_state(some_units(4, "a")), Permits(3)
    permits.issue(1.0, fleet, "u0", "anna", "order 1")
    again = Permits(next_epoch([3]), permits.to_json())
    assert again.open == permits.open and again.epoch == 4
    again.observe_epoch(9)
    with pytest.raises(EpochError):
        again.issue(2.0, fleet, "u1", "anna", "order 1")


def test_permit_can_be_revoked_only_before_its_holder_is_notified():
    fleet, permits = fleet_state(some_units(4, "a")), Permits(1)
    permits.issue(1.0, fleet, "u0", "anna", "x")
    permits.issue(1.0, fleet, "u1", "anna", "x")
    permits.mark_notified("u1")
    assert permits.revoke(2.0, fleet, "u0", "halt") and fleet.status_of("u0").state is UnitState.IN_SERVICE
    assert not permits.revoke(2.0, fleet, "u1", "halt") and fleet.status_of("u1").state is UnitState.DRAINING
    assert permits.write_off("u1", "anna").ended == "" and permits.open == []
    with pytest.raises(PermitError):
        permits.write_off("u1", "anna")


# --- runs -----------------------------------------------------------------------------------------


class RunHarness:
    """A run over a fleet whose events a test chooses."""

    def __init__(self, count: int = 6, zones: str = "abc") -> None:
        self.units = some_units(count, zones)
        self.fleet = fleet_state(self.units, half_floors(self.units))
        self.permits = Permits(1)
        self.run = DrainRun(1, "anna", "x", [u.name for u in self.units])
        self.now = 1.0

    def begin_wave(self, shedding: bool = False) -> list[str]:
        self.now += 1.0
        self.permits.reconcile(self.fleet)
        wave = self.run.next_wave(self.now, self.fleet, self.permits, shedding)
        for unit in wave:
            self.permits.issue(self.now, self.fleet, unit, "anna", "x")
            self.run.permit_issued(unit)
            self.permits.mark_notified(unit)
        return wave

    def bring_back(self, *names: str) -> None:
        """Observe that units are out and then serve again."""
        for serving in (False, True, True):
            self.now += 1.0
            for name in names:
                self.fleet.observe(self.now, name, serving)
            self.permits.reconcile(self.fleet)


def test_waves_follow_one_another_until_all_units_are_back():
    harness = RunHarness()
    waves = []
    while wave := harness.begin_wave():
        assert harness.fleet.floor_violations(harness.now) == []
        assert harness.begin_wave() == [] and harness.run.phase is Phase.WAITING
        harness.bring_back(*wave)
        waves.append(wave)
    assert [len(wave) for wave in waves] == [3, 3]
    harness.begin_wave()
    assert harness.run.phase is Phase.DONE
    assert DrainRun.from_json(harness.run.to_json()) == harness.run


@pytest.mark.parametrize(
    "cause", ["load shedding", "a violated floor", "unreachable units", "a unit that is not back"]
)
def test_no_new_wave_begins_during(cause):
    harness = RunHarness(9)
    first = harness.begin_wave()
    if cause != "a unit that is not back":
        harness.bring_back(*first)
    if cause == "load shedding":
        assert harness.begin_wave(shedding=True) == [] and "shedding load" in harness.run.reason
    elif cause == "a violated floor":
        for name in ("u0", "u3"):
            harness.fleet.observe(harness.now, name, False, "a zone was lost")
        assert harness.begin_wave() == [] and "below the floor" in harness.run.reason
        for serving in (True, True):
            for name in ("u0", "u3"):
                harness.fleet.observe(harness.now, name, serving)
    elif cause == "unreachable units":
        harness.fleet.floors = Floors()
        for name in ("u0", "u3"):
            harness.fleet.lose_contact(harness.now, name)
        assert harness.begin_wave() == [] and "unreachable" in harness.run.reason
        for name in ("u0", "u3"):
            harness.fleet.observe(harness.now, name, True)
    else:
        harness.bring_back(*first[1:])
        assert harness.begin_wave() == [] and "not back" in harness.run.reason
        harness.bring_back(first[0])
    assert harness.begin_wave(), "and the run continues by itself"


def test_run_halts_at_the_first_refusal_until_an_operator_resumes_or_cancels_it():
    harness = RunHarness()
    wave = harness.begin_wave()
    harness.run.fail(wave[0], "may_restart is not set")
    harness.bring_back(*wave)
    assert harness.begin_wave() == [] and harness.run.phase is Phase.HALTED and wave[0] in harness.run.failed
    harness.run.resume()
    assert harness.begin_wave()
    harness.run.cancel("enough")
    assert harness.begin_wave() == [] and harness.run.phase is Phase.CANCELLED and harness.run.left == []
    harness.bring_back(*[p.unit for p in harness.permits.open])
    harness.begin_wave()
    assert harness.run.phase is Phase.DONE
    with pytest.raises(PermitError):
        harness.run.resume()


events = st.lists(st.tuples(
    st.sampled_from(["wave", "shedding", "out", "lost", "back", "halt", "resume", "agent"]), st.integers(0, 5),
), max_size=40)  # fmt: skip


@settings(deadline=None, max_examples=120)
@given(events)
def test_any_events_break_no_floor_and_no_unit_gets_two_permits(steps):
    harness = RunHarness()
    issued_to: list[str] = []
    for event, number in steps:
        name = f"u{number}"
        if event in ("wave", "shedding"):
            before = harness.fleet.floor_violations(harness.now)
            wave = harness.begin_wave(shedding=event == "shedding")
            issued_to += wave
            assert not wave or (event == "wave" and not before)
            assert not wave or not harness.fleet.floor_violations(harness.now)
        elif event == "out":
            harness.fleet.observe(harness.now, name, False, "crashed")
        elif event == "lost":
            harness.fleet.lose_contact(harness.now, name)
        elif event == "back":
            harness.bring_back(name)
        elif event == "halt":
            harness.run.halt("x")
        elif event == "resume" and harness.run.phase not in (Phase.CANCELLED, Phase.DONE):
            harness.run.resume()
        else:  # the agent dies, and another one continues from the stored state
            harness.run = DrainRun.from_json(harness.run.to_json())
            harness.permits = Permits(next_epoch([harness.permits.epoch]), harness.permits.to_json())
    assert len(issued_to) == len(set(issued_to))


def plan_without_floors(fleet: FleetState, names, now: float) -> WavePlan:
    """Return the plan that there would be without floors."""
    return plan(fleet_state(list(fleet.units.values())), names, now)


@pytest.mark.parametrize("fault", ["out counts as in", "no wait for the last wave", "permits without floors"])
def test_broken_implementations_fail(monkeypatch, fault):
    if fault == "out counts as in":
        monkeypatch.setattr(FleetState, "available_fraction", lambda self, now, name: 1.0)
    elif fault == "no wait for the last wave":
        monkeypatch.setattr(DrainRun, "_blocked_by", lambda self, now, fleet, own, shedding: "")
        monkeypatch.setattr("covetally.drainplan.run.plan", plan_without_floors)
    else:
        monkeypatch.setattr("covetally.drainplan.permits.FleetState.floor_violations", lambda self, now: [])
        monkeypatch.setattr(DrainRun, "_blocked_by", lambda self, now, fleet, own, shedding: "")
        monkeypatch.setattr("covetally.drainplan.run.plan", plan_without_floors)
    harness = RunHarness(9)
    harness.fleet.observe(1.0, "u0", False, "crashed")

    def in_service_by_zone() -> list[int]:
        states = [(u.zone, harness.fleet.status_of(u.name).state) for u in harness.units]
        return [sum(zone == z and state is UnitState.IN_SERVICE for zone, state in states) for z in "abc"]

    broken = False
    for _ in range(4):
        try:
            harness.begin_wave()
        except PermitError:
            broken = True  # the check at the permit finds what the plan should have found
        broken = broken or min(in_service_by_zone()) < 1.5
    assert broken


# --- reasons that operators see ---------------------------------------------------------------------


def test_unit_that_is_out_for_another_cause_is_reported_as_failed():
    harness = RunHarness(6)
    harness.fleet.observe(1.0, "u0", False, "pulled")
    harness.fleet.floors = Floors()
    wave = harness.begin_wave()
    assert "u0" not in wave and "u0" not in harness.run.left
    assert harness.run.failed == {"u0": "already out of service for another cause"}


def test_run_waits_while_the_next_wave_would_break_a_floor():
    harness = RunHarness(3)
    assert harness.begin_wave() == [] and harness.run.phase is Phase.WAITING
    assert "floor" in harness.run.reason
    harness.fleet.floors = Floors()
    assert len(harness.begin_wave()) == 3
    assert harness.run.phase is Phase.RUNNING and harness.run.reason == ""


def test_run_waits_for_unreachable_units_and_names_them():
    harness = RunHarness(1)
    harness.fleet.floors, harness.run.most_unknown = Floors(), 1.0
    harness.fleet.lose_contact(1.0, "u0")
    assert harness.begin_wave() == [] and harness.run.phase is Phase.WAITING
    assert harness.run.reason == "not in service: u0"
    harness.fleet.observe(2.0, "u0", True)
    assert harness.begin_wave() == ["u0"]


def test_last_node_of_a_pod_gets_no_permit():
    units = [Unit("n0", "a", NODE, 1.0, "p"), Unit("n1", "a", NODE, 1.0, "p")]
    fleet, permits = fleet_state(units), Permits(1)
    permits.issue(0.0, fleet, "n0", "anna", "x")
    with pytest.raises(PermitError, match="last available node of pod p"):
        permits.issue(0.0, fleet, "n1", "anna", "x")


def test_number_of_kept_ended_permits_is_bounded():
    fleet, permits = fleet_state(some_units(2)), Permits(1)
    for _ in range(MAX_ENDED + 5):
        permits.issue(0.0, fleet, "u0", "anna", "x")
        permits.mark_notified("u0")
        for serving in (False, True, True):
            fleet.observe(1.0, "u0", serving)
            permits.reconcile(fleet)
    permits.issue(0.0, fleet, "u0", "anna", "x")
    assert len(permits.as_dicts()) == MAX_ENDED + 1 and len(permits.open) == 1


@pytest.mark.parametrize(
    "floors, where, remaining",
    [(Floors({(SIDECAR, "a"): 2.0}), "a", 1.0), (Floors({}, {SIDECAR: 3.0}), "the fleet", 2.0),
     (Floors({}, {}, {SIDECAR: 2.0}), "after the loss", 1.0)],
)  # fmt: skip
def test_only_floors_that_do_not_hold_are_violations(floors, where, remaining):
    (violation,) = floor_violations({(SIDECAR, "a"): 1.0, (SIDECAR, "b"): 1.0}, floors)
    assert where in violation.where
    assert violation.remaining == remaining
    assert floor_violations({(SIDECAR, "a"): 2.0, (SIDECAR, "b"): 2.0}, floors) == []


def test_returning_unit_keeps_its_cause_if_one_is_known():
    fleet = fleet_state(some_units(2, warm_s=10.0))
    for name, cause in (("u0", ""), ("u1", "pulled")):
        fleet.observe(1.0, name, False)
        fleet.observe(2.0, name, True, cause)
    assert [fleet.status_of(name).cause for name in ("u0", "u1")] == ["back, in slow start", "pulled"]
