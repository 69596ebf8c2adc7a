"""The membership view: single steps, and a stateful property test against a simple model."""

from __future__ import annotations

from dataclasses import replace

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from covetally.membership.membership_view import (
    AUTO,
    BELIEVE,
    CONFIRMED_MISSES,
    HOLD,
    MembershipView,
    differences,
)
from covetally.membership.model import (
    DOWN,
    LEAVING,
    STARTING,
    UP,
    Member,
    Snapshot,
    ViewConfig,
    from_table,
    to_table,
)

SECOND = 1_000_000_000
VIEW_CONFIG = ViewConfig(max_missing_share=0.25, hold_ns=30 * SECOND, stale_ns=20 * SECOND)


def member(i: int, **more) -> Member:
    return Member(f"n{i}", ("10.0.0.1", 1000 + i), **({"dirty": 100, "updated": 100, "registered": 100} | more))


def listing(*members: Member, endpoint: str = "a", complete: bool = True, **more) -> Snapshot:
    return Snapshot("eureka", endpoint, {m.id: m for m in members}, "r", complete, **more)


class ViewDriver:
    """A membership view, and the nodes that are up according to its updates."""

    def __init__(self, count: int = 8, started: bool = True) -> None:
        self.now = 1000 * SECOND
        self.view = MembershipView(VIEW_CONFIG, self.now)
        self.up: dict[str, int] = {}
        self.lines = []
        if started:
            self.read(*(member(i) for i in range(count)))

    def apply(self, updates) -> list:
        for update in updates:
            if update.lifecycle == "up":
                self.up[update.member.id] = update.started_ns
            else:
                self.up.pop(update.member.id, None)
        return updates

    def read(self, *members: Member, after: int = SECOND, **more) -> list:
        self.now += after
        return self.apply(self.view.apply_snapshot(self.now, listing(*members, **more)))

    def status_name(self) -> str:
        return self.view.status(self.now).name


def all_of(*numbers: int, **more) -> list[Member]:
    return [member(i, **more) for i in numbers]


def test_a_single_removal_and_a_small_share_are_applied_at_once():
    driver = ViewDriver(8)
    assert [t.lifecycle for t in driver.read(*all_of(*range(7)))] == ["removed"]
    assert len(driver.up) == 7
    driver.read(*all_of(*range(6)))  # the second within hold_ns: 2 of 8 is the share
    driver.read(*all_of(*range(5)))  # a single one is always applied
    assert len(driver.up) == 5 and driver.status_name() == "fresh"
    driver.read(*all_of(*range(3)))
    assert len(driver.up) == 5 and driver.status_name() == "in doubt", (
        "two more within hold_ns are over the share"
    )


def test_nodes_missing_from_an_empty_list_are_held_for_hold_ns():
    driver = ViewDriver(8)
    for _ in range(10):
        assert driver.read() == []
    assert driver.status_name() == "in doubt" and "8 nodes" in driver.view.status(driver.now).reason
    driver.now += 19 * SECOND
    assert driver.apply(driver.view.tick(driver.now)) == [] and len(driver.up) == 8
    driver.now += 2 * SECOND
    driver.apply(driver.view.tick(driver.now))
    assert driver.up == {}
    driver.read()
    assert driver.up == {} and driver.status_name() == "empty" and driver.view.counts["timed_out"] == 8


def test_the_last_node_is_held():
    driver = ViewDriver(1)
    driver.read()
    assert len(driver.up) == 1 and driver.status_name() == "in doubt"


def test_a_list_that_comes_back_ends_the_doubt_and_no_node_is_cold():
    driver = ViewDriver(8)
    driver.read()
    assert driver.read(*all_of(*range(8))) == [] and driver.status_name() == "fresh"
    assert set(driver.up.values()) == {0}


def test_a_registry_that_fills_slowly_removes_no_node():
    driver = ViewDriver(8)
    for count in range(8):
        driver.read(*all_of(*range(count)))
        assert len(driver.up) == 8
    driver.read(*all_of(*range(8)))
    assert driver.status_name() == "fresh"


def test_a_single_removal_during_a_doubt_is_applied():
    driver = ViewDriver(8)
    driver.read(*all_of(0, 1, 2))
    updates = driver.read(*all_of(0, 1))
    assert [t.member.id for t in updates] == ["n2"] and len(driver.up) == 7


def test_only_a_second_address_that_lists_other_nodes_confirms_removals():
    driver = ViewDriver(8)
    driver.read(*all_of(0, 1, 2, 3))
    view = driver.view
    assert view.confirm_removals(driver.now, listing(*all_of(0, 1), endpoint="b")) == [], (
        "the list may still be filling"
    )
    driver.read(*all_of(0, 1, 2, 3))
    assert view.confirm_removals(driver.now, listing(endpoint="b")) == []
    assert view.confirm_removals(driver.now, listing(*all_of(0), endpoint="b", complete=False)) == []
    assert view.confirm_removals(driver.now, listing(*all_of(*range(8)), endpoint="b")) == []
    assert (
        view.confirm_removals(
            driver.now, listing(*all_of(0), endpoint="b", invalid={f"n{i}": "" for i in range(8)})
        )
        == []
    )
    driver.apply(view.confirm_removals(driver.now, listing(*all_of(0, 1, 2, 3, 4), endpoint="b")))
    assert sorted(driver.up) == ["n0", "n1", "n2", "n3", "n4"] and view.counts["confirmed"] == 3


def test_an_unreachable_node_is_removed_only_if_it_is_held():
    driver = ViewDriver(8)
    driver.read(*all_of(0, 1))
    driver.apply(driver.view.remove_unreachable(driver.now, ["n0", "n5", "n99"]))
    assert sorted(driver.up) == ["n0", "n1", "n2", "n3", "n4", "n6", "n7"]


def test_operator_commands_believe_hold_and_auto():
    driver = ViewDriver(8)
    driver.read()
    driver.apply(driver.view.apply_command(driver.now, HOLD))
    driver.now += 60 * SECOND
    assert driver.view.tick(driver.now) == [] and driver.status_name() == "held"
    assert driver.view.remove_unreachable(driver.now, ["n1"]) == []
    driver.apply(driver.view.apply_command(driver.now, BELIEVE))
    assert driver.up == {} and driver.view.mode == AUTO
    driver.read(*all_of(*range(8), dirty=200))
    driver.view.apply_command(driver.now, HOLD)
    driver.read(*all_of(*range(7), dirty=200))
    assert len(driver.up) == 8, "on hold even a single node stays"
    driver.now += 31 * SECOND
    driver.view.apply_command(driver.now, AUTO)
    driver.apply(driver.view.tick(driver.now))
    assert len(driver.up) == 7


def test_overrides_of_all_nodes_apply_at_once_and_the_same_endpoint_undoes_them():
    driver = ViewDriver(8)
    driver.read(*all_of(*range(8), state=LEAVING, source_state="OUT_OF_SERVICE", updated=101))
    assert driver.up == {}
    driver.read(*all_of(*range(8), updated=102))
    assert len(driver.up) == 8 and set(driver.up.values()) == {0}, "their processes stayed alive"


def test_an_older_snapshot_undoes_an_override_only_after_hold_ns():
    driver = ViewDriver(3)
    marked = member(0, state=LEAVING, updated=200)
    driver.read(marked, *all_of(1, 2))
    driver.read(*all_of(0, 1, 2))
    assert "n0" not in driver.up and driver.view.table(driver.now)["nodes"][0]["contested"] == "up according to a"
    driver.read(*all_of(0, 1, 2), endpoint="b")
    assert "n0" not in driver.up
    driver.read(marked, *all_of(1, 2))  # agrees again, so hold_ns starts over
    driver.read(*all_of(0, 1, 2))
    driver.read(*all_of(0, 1, 2), after=29 * SECOND)
    assert "n0" not in driver.up
    driver.read(*all_of(0, 1, 2), after=SECOND)
    assert "n0" in driver.up


def test_another_endpoint_undoes_an_override_only_with_newer_timestamps():
    driver = ViewDriver(3)
    driver.read(member(0, state=LEAVING, updated=200), *all_of(1, 2))
    driver.read(member(0, updated=900), *all_of(1, 2), endpoint="b")
    assert "n0" not in driver.up, "another registry's clock is not comparable"
    driver.read(member(0, dirty=101, updated=900), *all_of(1, 2), endpoint="b")
    assert "n0" in driver.up


def test_an_override_older_than_the_known_state_must_wait():
    driver = ViewDriver(3)
    driver.read(*all_of(0, 1, 2, dirty=150))
    driver.read(member(0, state=LEAVING, dirty=100), *all_of(1, 2, dirty=150), endpoint="b")
    assert "n0" in driver.up


def test_a_node_that_comes_back_is_cold():
    for before, after in (
        (member(0, state=STARTING, dirty=110), member(0, dirty=120)),
        (member(0, state=DOWN, dirty=110), member(0, dirty=120)),
        (member(0), member(0, dirty=120, registered=120)),
        (member(0), replace(member(0, dirty=120), address=("10.0.0.9", 1))),
    ):
        driver = ViewDriver(3)
        driver.read(before, *all_of(1, 2))
        updates = driver.read(after, *all_of(1, 2))
        assert [t.member.id for t in updates] == ["n0"] and driver.up["n0"] == driver.now
        assert driver.up["n1"] == 0


def test_a_start_time_reported_by_the_node_is_used():
    driver = ViewDriver(2)
    driver.read(member(0, boot=5, started_ns=7 * SECOND), member(1))
    assert driver.up["n0"] == 7 * SECOND


def test_changed_timestamps_of_the_same_process_are_no_restart():
    driver = ViewDriver(3)
    assert driver.read(member(0, dirty=120), *all_of(1, 2)) == [], (
        "a newer dirty timestamp alone is a change of its own status"
    )
    assert driver.read(member(0, dirty=130, registered=130), *all_of(1, 2), endpoint="b") == []


def test_a_removed_node_returns_cold_on_newer_timestamps_and_waits_otherwise():
    driver = ViewDriver(3)
    for _ in range(CONFIRMED_MISSES):
        driver.read(*all_of(1, 2))
    driver.read(*all_of(0, 1, 2))
    assert "n0" not in driver.up and list(driver.view.table(driver.now)["waiting"]) == ["n0"]
    driver.read(*all_of(0, 1, 2), after=30 * SECOND)
    assert driver.up["n0"] == driver.now
    driver.read(*all_of(1, 2))
    driver.read(member(0, dirty=101), *all_of(1, 2), endpoint="b")
    assert driver.up["n0"] == driver.now


def test_nodes_removed_by_timeout_or_command_return_at_once_with_their_registry():
    for given_up in ("time", "order"):
        driver = ViewDriver(4)
        driver.read()
        if given_up == "time":
            driver.now += 31 * SECOND
            driver.apply(driver.view.tick(driver.now))
        else:
            driver.apply(driver.view.apply_command(driver.now, BELIEVE))
        for _ in range(CONFIRMED_MISSES):
            driver.read()
        assert driver.up == {}
        driver.read(*all_of(*range(4)))
        assert len(driver.up) == 4 and set(driver.up.values()) == {driver.now}
    driver = ViewDriver(2)
    driver.read(member(0))
    driver.read(endpoint="b")
    driver.apply(driver.view.apply_command(driver.now, BELIEVE))
    driver.read(*all_of(0, 1), endpoint="c")
    assert "n0" in driver.up, "with no node up, any list is better than none"


def test_a_node_missing_from_one_read_returns_with_the_next():
    driver = ViewDriver(3)
    driver.read(*all_of(1, 2))
    driver.read(*all_of(0, 1, 2))
    assert driver.up["n0"] == driver.now


def test_old_data_of_another_endpoint_does_not_bring_a_removed_node_back():
    driver = ViewDriver(3)
    driver.read(*all_of(1, 2))
    driver.read(*all_of(0, 1, 2), endpoint="b")
    assert "n0" not in driver.up


def test_the_same_address_under_another_id_is_one_cold_node():
    driver = ViewDriver(3)
    successor = replace(member(0, dirty=300), id="new")
    driver.read(member(0), successor, *all_of(1, 2))
    assert "n0" not in driver.up or "new" not in driver.up
    assert driver.up["new"] == driver.now and driver.view.duplicates == {"n0": "new"}
    driver.read(successor, *all_of(1, 2))
    assert sorted(driver.up) == ["n1", "n2", "new"] and driver.status_name() == "fresh"


def test_all_nodes_under_new_ids_cause_no_doubt():
    driver = ViewDriver(8)
    driver.read(*(replace(m, id=f"x{m.id}", dirty=300) for m in all_of(*range(8))))
    assert (
        len(driver.up) == 8
        and driver.status_name() == "fresh"
        and all(name.startswith("x") for name in driver.up)
    )


def test_switching_sources_and_back_keeps_the_same_processes_warm():
    driver = ViewDriver(8)
    others = {f"p{i}": replace(member(i), id=f"p{i}", dirty=0, updated=0, registered=0) for i in range(8)}
    for _ in range(3):
        driver.now += SECOND
        driver.apply(driver.view.apply_snapshot(driver.now, Snapshot("platform", "platform", others)))
        assert sorted(driver.up) == sorted(others) and set(driver.up.values()) == {0}
        driver.read(*all_of(*range(8)))
        assert sorted(driver.up) == [f"n{i}" for i in range(8)] and set(driver.up.values()) == {0}


def test_invalid_entries_and_incomplete_answers_remove_no_node():
    driver = ViewDriver(8)
    driver.read(*all_of(1, 2), invalid={f"n{i}": "port 0" for i in (0, 3, 4, 5, 6, 7)})
    assert len(driver.up) == 8 and driver.status_name() == "fresh"
    driver.read(member(9), complete=False)
    assert len(driver.up) == 9
    driver.read(member(0, state=LEAVING, updated=300), complete=False)
    assert len(driver.up) == 8


def test_new_nodes_are_cold_unless_their_start_is_known_or_it_is_the_first_read():
    driver = ViewDriver(2)
    driver.read(*all_of(0, 1), member(2), member(3, started_ns=5 * SECOND))
    assert driver.up == {"n0": 0, "n1": 0, "n2": driver.now, "n3": 5 * SECOND}


def test_statuses():
    driver = ViewDriver(started=False)
    assert driver.status_name() == "none"
    driver.apply(driver.view.restore(driver.now, all_of(0, 1), "r0"))
    assert len(driver.up) == 2 and driver.status_name() == "kept"
    driver.read(complete=False)
    assert driver.status_name() == "kept"
    driver.read(*all_of(0, 1))
    assert driver.status_name() == "fresh"
    driver.now += 20 * SECOND
    assert driver.status_name() == "stale" and "revision r" in driver.view.status(driver.now).reason
    driver.read(*all_of(0, 1))
    assert driver.status_name() == "fresh"


def test_a_restored_list_is_held_against_an_empty_registry_and_corrected_by_a_full_one():
    driver = ViewDriver(started=False)
    driver.apply(driver.view.restore(driver.now, all_of(*range(8)), "r0"))
    driver.read()
    assert len(driver.up) == 8 and driver.status_name() == "in doubt"
    driver.read(*all_of(*range(1, 9)))
    assert len(driver.up) == 9, "the list is still growing"
    driver.read(*all_of(*range(1, 9)))
    assert sorted(driver.up) == [f"n{i}" for i in range(1, 9)] and driver.status_name() == "fresh"


def test_removals_count_towards_the_share_for_hold_ns():
    driver = ViewDriver(8)
    driver.read(*all_of(*range(6)))
    driver.read(
        *all_of(*range(2, 6)), after=VIEW_CONFIG.hold_ns
    )  # 2 of 6 is over the share, whatever was removed before
    assert len(driver.up) == 6
    driver = ViewDriver(16)
    driver.read(*all_of(*range(12)))  # the share is used up
    driver.read(*all_of(*range(9)), after=VIEW_CONFIG.hold_ns - 1)
    assert len(driver.up) == 12
    driver = ViewDriver(16)
    driver.read(*all_of(*range(12)))
    driver.read(*all_of(*range(9)), after=VIEW_CONFIG.hold_ns)
    assert len(driver.up) == 9


def test_another_address_reported_by_another_endpoint_must_wait():
    driver = ViewDriver(3)
    moved = replace(member(0), address=("10.0.0.9", 9))
    assert driver.read(moved, *all_of(1, 2), endpoint="b") == []
    assert driver.view.nodes["n0"].member.address == ("10.0.0.1", 1000)
    driver.read(moved, *all_of(1, 2), endpoint="b", after=VIEW_CONFIG.hold_ns)
    assert driver.view.nodes["n0"].member.address == ("10.0.0.9", 9)


def test_differences_are_matched_by_address():
    driver = ViewDriver(3)
    other = listing(replace(member(0), id="x"), member(1, state=LEAVING), member(9), invalid={"q": "port 0"})
    assert differences(driver.view.current_updates(), other) == {
        "only_here": ["n2"], "only_there": ["n9"], "state": ["n1: up, there leaving"], "id": ["n0, there x"],
        "bad": ["q: port 0"],
    }  # fmt: skip


def test_a_member_survives_conversion_to_a_table():
    one = member(1, state=LEAVING, source_state="OUT_OF_SERVICE", zone="a", kind="k", cell=3, weight=0.5, boot=9)
    assert from_table(to_table(one)) == one
    for key, value in (("port", 0), ("state", "odd"), ("id", ""), ("cell", "x"), ("host", None)):
        table = to_table(one) | {key: value}
        if key == "host":
            del table["host"]
        try:
            from_table(table)
        except ValueError:
            continue
        raise AssertionError(f"{key} = {value!r} was accepted")


class Registry(RuleBasedStateMachine):
    """A faulty registry, and a simple model: which ids were ever listed, and since when each is missing."""

    def __init__(self) -> None:
        super().__init__()
        self.driver = ViewDriver(started=False)
        self.registered: dict[int, Member] = {}
        self.stamp = 100
        self.ever: set[str] = set()
        self.missing_since: dict[str, int] = {}
        self.hold_forever = False  # an operator has ordered hold

    def report(self, members, endpoint="a", complete=True) -> None:
        found = {m.id for m in members}
        self.ever |= found
        self.driver.read(*members, endpoint=endpoint, complete=complete)
        for name in found:
            self.missing_since.pop(name, None)
        if complete:
            for name in self.ever - found:
                self.missing_since.setdefault(name, self.driver.now)

    @rule(i=st.integers(0, 11), state=st.sampled_from([UP, UP, LEAVING, STARTING, DOWN]))
    def change(self, i, state):
        self.stamp += 1
        self.registered[i] = member(i, state=state, dirty=self.stamp, updated=self.stamp, registered=self.stamp)

    @rule(i=st.integers(0, 11))
    def remove(self, i):
        self.registered.pop(i, None)

    @rule()
    def full_list(self):
        self.report(self.registered.values())

    @rule(listed=st.sets(st.integers(0, 11)), endpoint=st.sampled_from("ab"), complete=st.booleans())
    def incomplete_or_partial_list(self, listed, endpoint, complete):
        self.report([m for i, m in self.registered.items() if i in listed], endpoint, complete)

    @rule(listed=st.sets(st.integers(0, 11)), seconds=st.integers(0, 40))
    def read_other_address(self, listed, seconds):
        self.driver.now += seconds * SECOND
        others = [m for i, m in self.registered.items() if i in listed]
        self.ever |= {m.id for m in others}
        self.driver.apply(self.driver.view.confirm_removals(self.driver.now, listing(*others, endpoint="b")))

    @rule(i=st.integers(0, 11))
    def unreachable(self, i):
        before = dict(self.driver.up)
        self.driver.apply(self.driver.view.remove_unreachable(self.driver.now, [f"n{i}"]))
        if f"n{i}" not in self.missing_since:
            assert self.driver.up == before, "a listed node is not removed for being unreachable"

    @rule(command=st.sampled_from([HOLD, AUTO, BELIEVE]))
    def operator(self, command):
        self.driver.apply(self.driver.view.apply_command(self.driver.now, command))
        self.hold_forever = command == HOLD

    @rule(seconds=st.integers(1, 40))
    def wait(self, seconds):
        self.driver.now += seconds * SECOND
        self.driver.apply(self.driver.view.tick(self.driver.now))

    @precondition(lambda self: not self.hold_forever)
    @rule()
    def converge(self):
        """After newer timestamps, a complete read and hold_ns, the view equals the registry."""
        for i, m in list(self.registered.items()):
            self.stamp += 1
            self.registered[i] = replace(m, dirty=self.stamp, updated=self.stamp)
        self.report(self.registered.values())
        listed_up = {m.id for m in self.registered.values() if m.state == UP}
        assert listed_up <= set(self.driver.up)
        assert set(self.driver.up) - listed_up == set(self.driver.view.held_nodes())
        self.driver.now += VIEW_CONFIG.hold_ns
        self.driver.apply(self.driver.view.tick(self.driver.now))
        assert set(self.driver.up) == listed_up

    @invariant()
    def no_unlisted_node_is_up(self):
        assert set(self.driver.up) <= self.ever

    @invariant()
    def no_missing_node_is_kept_longer_than_hold_ns(self):
        if self.hold_forever:
            return
        updates = self.driver.view.tick(self.driver.now)
        self.driver.apply(updates)
        for name, since in self.missing_since.items():
            assert name not in self.driver.up or self.driver.now - since < VIEW_CONFIG.hold_ns

    @invariant()
    def the_updates_add_up_to_the_view(self):
        updates = self.driver.view.current_updates()
        assert {u.member.id for u in updates if u.lifecycle == "up"} == set(self.driver.up)


Registry.TestCase.settings = settings(max_examples=80, stateful_step_count=40, deadline=None, derandomize=True)
TestRegistry = Registry.TestCase
