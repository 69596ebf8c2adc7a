"""What is believed of a source's word: a table of steps, and a stateful property against a plain model."""

from __future__ import annotations

from dataclasses import replace

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from covetally.membership.membership_view import AUTO, BELIEVE, HOLD, MISSES, Believer, differences
from covetally.membership.model import DOWN, LEAVING, STARTING, UP, Member, Read, Rule, from_table, to_table

S = 1_000_000_000
RULE = Rule(share=0.25, hold_ns=30 * S, stale_ns=20 * S)


def member(i: int, **more) -> Member:
    return Member(f"n{i}", ("10.0.0.1", 1000 + i), **({"dirty": 100, "updated": 100, "registered": 100} | more))


def listing(*members: Member, teller: str = "a", clean: bool = True, **more) -> Read:
    return Read("eureka", teller, {m.id: m for m in members}, "r", clean, **more)


class Steps:
    """A believer and the roster that its words add up to."""

    def __init__(self, count: int = 8, started: bool = True) -> None:
        self.now = 1000 * S
        self.believer = Believer(RULE, self.now)
        self.up: dict[str, int] = {}
        self.lines = []
        if started:
            self.read(*(member(i) for i in range(count)))

    def take(self, told) -> list:
        for line in told:
            if line.lifecycle == "up":
                self.up[line.member.id] = line.started_ns
            else:
                self.up.pop(line.member.id, None)
        return told

    def read(self, *members: Member, after: int = S, **more) -> list:
        self.now += after
        return self.take(self.believer.read(self.now, listing(*members, **more)))

    def word(self) -> str:
        return self.believer.level(self.now).word


def all_of(*numbers: int, **more) -> list[Member]:
    return [member(i, **more) for i in numbers]


def test_a_single_removal_is_honoured_at_once_and_so_is_a_share_of_them():
    steps = Steps(8)
    assert [t.lifecycle for t in steps.read(*all_of(*range(7)))] == ["removed"]
    assert len(steps.up) == 7
    steps.read(*all_of(*range(6)))  # the second within the time: 2 of 8 is the share
    steps.read(*all_of(*range(5)))  # one alone is always honoured
    assert len(steps.up) == 5 and steps.word() == "fresh"
    steps.read(*all_of(*range(3)))
    assert len(steps.up) == 5 and steps.word() == "in doubt", "two more within the time are over the share"


def test_a_list_that_empties_is_held_for_its_time_and_no_longer():
    steps = Steps(8)
    for _ in range(10):
        assert steps.read() == []
    assert steps.word() == "in doubt" and "8 nodes" in steps.believer.level(steps.now).why
    steps.now += 19 * S
    assert steps.take(steps.believer.tick(steps.now)) == [] and len(steps.up) == 8
    steps.now += 2 * S
    steps.take(steps.believer.tick(steps.now))
    assert steps.up == {}
    steps.read()
    assert steps.up == {} and steps.word() == "empty" and steps.believer.counts["timed_out"] == 8


def test_the_last_node_is_held_too():
    steps = Steps(1)
    steps.read()
    assert len(steps.up) == 1 and steps.word() == "in doubt"


def test_a_list_that_comes_back_clears_the_doubt_and_nobody_is_cold():
    steps = Steps(8)
    steps.read()
    assert steps.read(*all_of(*range(8))) == [] and steps.word() == "fresh"
    assert set(steps.up.values()) == {0}


def test_a_registry_that_fills_slowly_costs_no_node():
    steps = Steps(8)
    for count in range(8):
        steps.read(*all_of(*range(count)))
        assert len(steps.up) == 8
    steps.read(*all_of(*range(8)))
    assert steps.word() == "fresh"


def test_one_more_lost_on_its_own_during_a_doubt_is_honoured():
    steps = Steps(8)
    steps.read(*all_of(0, 1, 2))
    told = steps.read(*all_of(0, 1))
    assert [t.member.id for t in told] == ["n2"] and len(steps.up) == 7


def test_a_second_address_confirms_and_an_empty_one_or_one_that_still_lists_does_not():
    steps = Steps(8)
    steps.read(*all_of(0, 1, 2, 3))
    believer = steps.believer
    assert believer.witness(steps.now, listing(*all_of(0, 1), teller="b")) == [], "the list may be filling"
    steps.read(*all_of(0, 1, 2, 3))
    assert believer.witness(steps.now, listing(teller="b")) == []
    assert believer.witness(steps.now, listing(*all_of(0), teller="b", clean=False)) == []
    assert believer.witness(steps.now, listing(*all_of(*range(8)), teller="b")) == []
    assert believer.witness(steps.now, listing(*all_of(0), teller="b", bad={f"n{i}": "" for i in range(8)})) == []
    steps.take(believer.witness(steps.now, listing(*all_of(0, 1, 2, 3, 4), teller="b")))
    assert sorted(steps.up) == ["n0", "n1", "n2", "n3", "n4"] and believer.counts["confirmed"] == 3


def test_a_held_node_that_takes_no_connections_is_gone_and_one_that_is_listed_is_not():
    steps = Steps(8)
    steps.read(*all_of(0, 1))
    steps.take(steps.believer.evidence(steps.now, ["n0", "n5", "n99"]))
    assert sorted(steps.up) == ["n0", "n1", "n2", "n3", "n4", "n6", "n7"]


def test_operators_say_believe_or_hold():
    steps = Steps(8)
    steps.read()
    steps.take(steps.believer.order(steps.now, HOLD))
    steps.now += 60 * S
    assert steps.believer.tick(steps.now) == [] and steps.word() == "held"
    assert steps.believer.evidence(steps.now, ["n1"]) == []
    steps.take(steps.believer.order(steps.now, BELIEVE))
    assert steps.up == {} and steps.believer.mode == AUTO
    steps.read(*all_of(*range(8), dirty=200))
    steps.believer.order(steps.now, HOLD)
    steps.read(*all_of(*range(7), dirty=200))
    assert len(steps.up) == 8, "on hold even one alone stays"
    steps.now += 31 * S
    steps.believer.order(steps.now, AUTO)
    steps.take(steps.believer.tick(steps.now))
    assert len(steps.up) == 7


def test_marks_are_honoured_for_all_at_once_and_undone_by_the_same_teller():
    steps = Steps(8)
    steps.read(*all_of(*range(8), state=LEAVING, word="OUT_OF_SERVICE", updated=101))
    assert steps.up == {}
    steps.read(*all_of(*range(8), updated=102))
    assert len(steps.up) == 8 and set(steps.up.values()) == {0}, "their processes lived on"


def test_an_older_snapshot_does_not_undo_a_mark_until_it_stood_for_the_time():
    steps = Steps(3)
    marked = member(0, state=LEAVING, updated=200)
    steps.read(marked, *all_of(1, 2))
    steps.read(*all_of(0, 1, 2))
    assert "n0" not in steps.up and steps.believer.table(steps.now)["nodes"][0]["contested"] == "up says a"
    steps.read(*all_of(0, 1, 2), teller="b")
    assert "n0" not in steps.up
    steps.read(marked, *all_of(1, 2))  # agreed again: the time begins anew
    steps.read(*all_of(0, 1, 2))
    steps.read(*all_of(0, 1, 2), after=29 * S)
    assert "n0" not in steps.up
    steps.read(*all_of(0, 1, 2), after=S)
    assert "n0" in steps.up


def test_another_peer_undoes_a_mark_only_with_newer_stamps():
    steps = Steps(3)
    steps.read(member(0, state=LEAVING, updated=200), *all_of(1, 2))
    steps.read(member(0, updated=900), *all_of(1, 2), teller="b")
    assert "n0" not in steps.up, "the other registry's clock proves nothing"
    steps.read(member(0, dirty=101, updated=900), *all_of(1, 2), teller="b")
    assert "n0" in steps.up


def test_a_mark_older_than_what_is_known_is_not_honoured_yet():
    steps = Steps(3)
    steps.read(*all_of(0, 1, 2, dirty=150))
    steps.read(member(0, state=LEAVING, dirty=100), *all_of(1, 2, dirty=150), teller="b")
    assert "n0" in steps.up


def test_who_comes_back_is_cold():
    for before, after in (
        (member(0, state=STARTING, dirty=110), member(0, dirty=120)),
        (member(0, state=DOWN, dirty=110), member(0, dirty=120)),
        (member(0), member(0, dirty=120, registered=120)),
        (member(0), replace(member(0, dirty=120), address=("10.0.0.9", 1))),
    ):
        steps = Steps(3)
        steps.read(before, *all_of(1, 2))
        told = steps.read(after, *all_of(1, 2))
        assert [t.member.id for t in told] == ["n0"] and steps.up["n0"] == steps.now
        assert steps.up["n1"] == 0


def test_a_start_that_the_node_names_is_taken_from_it():
    steps = Steps(2)
    steps.read(member(0, boot=5, started_ns=7 * S), member(1))
    assert steps.up["n0"] == 7 * S


def test_a_changed_word_about_the_same_process_is_no_start():
    steps = Steps(3)
    assert steps.read(member(0, dirty=120), *all_of(1, 2)) == [], "dirty alone is a change of its own status"
    assert steps.read(member(0, dirty=130, registered=130), *all_of(1, 2), teller="b") == []


def test_a_dropped_node_returns_cold_on_new_stamps_and_waits_on_old_ones():
    steps = Steps(3)
    for _ in range(MISSES):
        steps.read(*all_of(1, 2))
    steps.read(*all_of(0, 1, 2))
    assert "n0" not in steps.up and list(steps.believer.table(steps.now)["waiting"]) == ["n0"]
    steps.read(*all_of(0, 1, 2), after=30 * S)
    assert steps.up["n0"] == steps.now
    steps.read(*all_of(1, 2))
    steps.read(member(0, dirty=101), *all_of(1, 2), teller="b")
    assert steps.up["n0"] == steps.now


def test_a_fleet_that_was_given_up_comes_back_with_its_registry_at_once():
    for given_up in ("time", "order"):
        steps = Steps(4)
        steps.read()
        if given_up == "time":
            steps.now += 31 * S
            steps.take(steps.believer.tick(steps.now))
        else:
            steps.take(steps.believer.order(steps.now, BELIEVE))
        for _ in range(MISSES):
            steps.read()
        assert steps.up == {}
        steps.read(*all_of(*range(4)))
        assert len(steps.up) == 4 and set(steps.up.values()) == {steps.now}
    steps = Steps(2)
    steps.read(member(0))
    steps.read(teller="b")
    steps.take(steps.believer.order(steps.now, BELIEVE))
    steps.read(*all_of(0, 1), teller="c")
    assert "n0" in steps.up, "with nobody left, any word is better than none"


def test_a_slip_of_one_read_costs_one_read():
    steps = Steps(3)
    steps.read(*all_of(1, 2))
    steps.read(*all_of(0, 1, 2))
    assert steps.up["n0"] == steps.now


def test_the_old_word_of_another_peer_does_not_bring_a_dropped_node_back():
    steps = Steps(3)
    steps.read(*all_of(1, 2))
    steps.read(*all_of(0, 1, 2), teller="b")
    assert "n0" not in steps.up


def test_the_same_address_under_another_id_is_one_node_and_cold():
    steps = Steps(3)
    successor = replace(member(0, dirty=300), id="new")
    steps.read(member(0), successor, *all_of(1, 2))
    assert "n0" not in steps.up or "new" not in steps.up
    assert steps.up["new"] == steps.now and steps.believer.shared == {"n0": "new"}
    steps.read(successor, *all_of(1, 2))
    assert sorted(steps.up) == ["n1", "n2", "new"] and steps.word() == "fresh"


def test_a_whole_fleet_under_new_ids_is_no_doubt():
    steps = Steps(8)
    steps.read(*(replace(m, id=f"x{m.id}", dirty=300) for m in all_of(*range(8))))
    assert len(steps.up) == 8 and steps.word() == "fresh" and all(name.startswith("x") for name in steps.up)


def test_another_source_names_the_same_processes_there_and_back():
    steps = Steps(8)
    others = {f"p{i}": replace(member(i), id=f"p{i}", dirty=0, updated=0, registered=0) for i in range(8)}
    for _ in range(3):
        steps.now += S
        steps.take(steps.believer.read(steps.now, Read("platform", "platform", others)))
        assert sorted(steps.up) == sorted(others) and set(steps.up.values()) == {0}
        steps.read(*all_of(*range(8)))
        assert sorted(steps.up) == [f"n{i}" for i in range(8)] and set(steps.up.values()) == {0}


def test_what_cannot_be_read_stays_and_what_did_not_come_whole_removes_nothing():
    steps = Steps(8)
    steps.read(*all_of(1, 2), bad={f"n{i}": "port 0" for i in (0, 3, 4, 5, 6, 7)})
    assert len(steps.up) == 8 and steps.word() == "fresh"
    steps.read(member(9), clean=False)
    assert len(steps.up) == 9
    steps.read(member(0, state=LEAVING, updated=300), clean=False)
    assert len(steps.up) == 8


def test_new_nodes_are_cold_unless_the_source_tells_their_age_or_it_is_the_first_read():
    steps = Steps(2)
    steps.read(*all_of(0, 1), member(2), member(3, started_ns=5 * S))
    assert steps.up == {"n0": 0, "n1": 0, "n2": steps.now, "n3": 5 * S}


def test_levels():
    steps = Steps(started=False)
    assert steps.word() == "none"
    steps.take(steps.believer.kept(steps.now, all_of(0, 1), "r0"))
    assert len(steps.up) == 2 and steps.word() == "kept"
    steps.read(clean=False)
    assert steps.word() == "kept"
    steps.read(*all_of(0, 1))
    assert steps.word() == "fresh"
    steps.now += 20 * S
    assert steps.word() == "stale" and "revision r" in steps.believer.level(steps.now).why
    steps.read(*all_of(0, 1))
    assert steps.word() == "fresh"


def test_a_kept_roster_is_doubted_against_an_empty_registry_and_corrected_by_a_full_one():
    steps = Steps(started=False)
    steps.take(steps.believer.kept(steps.now, all_of(*range(8)), "r0"))
    steps.read()
    assert len(steps.up) == 8 and steps.word() == "in doubt"
    steps.read(*all_of(*range(1, 9)))
    assert len(steps.up) == 9, "the list still grows"
    steps.read(*all_of(*range(1, 9)))
    assert sorted(steps.up) == [f"n{i}" for i in range(1, 9)] and steps.word() == "fresh"


def test_losses_are_forgotten_after_the_time():
    steps = Steps(8)
    steps.read(*all_of(*range(6)))
    steps.read(*all_of(*range(2, 6)), after=RULE.hold_ns)  # 2 of 6 is over the share, whatever was before
    assert len(steps.up) == 6
    steps = Steps(16)
    steps.read(*all_of(*range(12)))  # the share is used up
    steps.read(*all_of(*range(9)), after=RULE.hold_ns - 1)
    assert len(steps.up) == 12
    steps = Steps(16)
    steps.read(*all_of(*range(12)))
    steps.read(*all_of(*range(9)), after=RULE.hold_ns)
    assert len(steps.up) == 9


def test_another_address_on_the_word_of_another_peer_waits():
    steps = Steps(3)
    moved = replace(member(0), address=("10.0.0.9", 9))
    assert steps.read(moved, *all_of(1, 2), teller="b") == []
    assert steps.believer.nodes["n0"].member.address == ("10.0.0.1", 1000)
    steps.read(moved, *all_of(1, 2), teller="b", after=RULE.hold_ns)
    assert steps.believer.nodes["n0"].member.address == ("10.0.0.9", 9)


def test_differences_are_by_address():
    steps = Steps(3)
    there = listing(replace(member(0), id="x"), member(1, state=LEAVING), member(9), bad={"q": "port 0"})
    assert differences(steps.believer.roster(), there) == {
        "only_here": ["n2"], "only_there": ["n9"], "state": ["n1: up, there leaving"], "id": ["n0, there x"],
        "bad": ["q: port 0"],
    }  # fmt: skip


def test_a_member_outlives_a_table():
    one = member(1, state=LEAVING, word="OUT_OF_SERVICE", zone="a", kind="k", cell=3, weight=0.5, boot=9)
    assert from_table(to_table(one)) == one
    for key, value in (("port", 0), ("state", "odd"), ("id", ""), ("cell", "x"), ("host", None)):
        table = to_table(one) | {key: value}
        if key == "host":
            del table["host"]
        try:
            from_table(table)
        except ValueError:
            continue
        raise AssertionError(f"{key} = {value!r} was taken")


class Registry(RuleBasedStateMachine):
    """A registry with faults, and the plain model: what was ever listed, and since when each id is lacking."""

    def __init__(self) -> None:
        super().__init__()
        self.steps = Steps(started=False)
        self.truth: dict[int, Member] = {}
        self.stamp = 100
        self.ever: set[str] = set()
        self.lacking: dict[str, int] = {}
        self.boundless = False  # an operator has said hold

    def tell(self, members, teller="a", clean=True) -> None:
        found = {m.id for m in members}
        self.ever |= found
        self.steps.read(*members, teller=teller, clean=clean)
        for name in found:
            self.lacking.pop(name, None)
        if clean:
            for name in self.ever - found:
                self.lacking.setdefault(name, self.steps.now)

    @rule(i=st.integers(0, 11), state=st.sampled_from([UP, UP, LEAVING, STARTING, DOWN]))
    def change(self, i, state):
        self.stamp += 1
        self.truth[i] = member(i, state=state, dirty=self.stamp, updated=self.stamp, registered=self.stamp)

    @rule(i=st.integers(0, 11))
    def leave(self, i):
        self.truth.pop(i, None)

    @rule()
    def clean(self):
        self.tell(self.truth.values())

    @rule(keep=st.sets(st.integers(0, 11)), teller=st.sampled_from("ab"), clean=st.booleans())
    def lack(self, keep, teller, clean):
        self.tell([m for i, m in self.truth.items() if i in keep], teller, clean)

    @rule(keep=st.sets(st.integers(0, 11)), seconds=st.integers(0, 40))
    def look_elsewhere(self, keep, seconds):
        self.steps.now += seconds * S
        others = [m for i, m in self.truth.items() if i in keep]
        self.ever |= {m.id for m in others}
        self.steps.take(self.steps.believer.witness(self.steps.now, listing(*others, teller="b")))

    @rule(i=st.integers(0, 11))
    def silent(self, i):
        before = dict(self.steps.up)
        self.steps.take(self.steps.believer.evidence(self.steps.now, [f"n{i}"]))
        if f"n{i}" not in self.lacking:
            assert self.steps.up == before, "silence says nothing against a node that is listed"

    @rule(word=st.sampled_from([HOLD, AUTO, BELIEVE]))
    def operator(self, word):
        self.steps.take(self.steps.believer.order(self.steps.now, word))
        self.boundless = word == HOLD

    @rule(seconds=st.integers(1, 40))
    def wait(self, seconds):
        self.steps.now += seconds * S
        self.steps.take(self.steps.believer.tick(self.steps.now))

    @precondition(lambda self: not self.boundless)
    @rule()
    def converge(self):
        """New stamps, a clean read, and what is held past its time: the roster is the truth."""
        for i, m in list(self.truth.items()):
            self.stamp += 1
            self.truth[i] = replace(m, dirty=self.stamp, updated=self.stamp)
        self.tell(self.truth.values())
        listed_up = {m.id for m in self.truth.values() if m.state == UP}
        assert listed_up <= set(self.steps.up)
        assert set(self.steps.up) - listed_up == set(self.steps.believer.held())
        self.steps.now += RULE.hold_ns
        self.steps.take(self.steps.believer.tick(self.steps.now))
        assert set(self.steps.up) == listed_up

    @invariant()
    def nobody_is_invented(self):
        assert set(self.steps.up) <= self.ever

    @invariant()
    def nobody_is_kept_past_the_time(self):
        if self.boundless:
            return
        told = self.steps.believer.tick(self.steps.now)
        self.steps.take(told)
        for name, since in self.lacking.items():
            assert name not in self.steps.up or self.steps.now - since < RULE.hold_ns

    @invariant()
    def what_was_told_adds_up(self):
        roster = self.steps.believer.roster()
        assert {t.member.id for t in roster if t.lifecycle == "up"} == set(self.steps.up)


Registry.TestCase.settings = settings(max_examples=80, stateful_step_count=40, deadline=None, derandomize=True)
TestRegistry = Registry.TestCase
