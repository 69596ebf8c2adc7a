"""What a tier makes of its nodes: the failures it is for, liars and bad links, trials in turn; planted faults."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from covetally.interface import AttemptStatus
from covetally.lab.verdicts import Calls
from covetally.rig.schedule import Link, Step
from covetally.tier import facts as facts_module
from covetally.tier import verdicts as module
from covetally.tier.facts import LASTS_NS, Fact, Facts, What, Word
from covetally.tier.members import SECOND
from covetally.tier.verdicts import HOLD_NS, SHARE, Advice

CUT = Link(cut=True)


def members(calls: Calls, zone: int | None = None) -> list[int]:
    return [n for n in calls.tier.nodes if n not in calls.liars and (zone is None or n % 3 == zone)]


def settled(size: int = 12, nodes: int = 12, seed: int = 1, **more) -> Calls:
    calls = Calls(size, nodes, seed, **more)
    calls.run(3)
    assert all(calls.advice(n) == Advice() for n in calls.tier.nodes)
    return calls


def test_a_dead_node_is_known_to_members_that_never_called_it_and_no_other_node_is_avoided():
    calls = settled()
    calls.down = {"n4"}
    callers: set[int] = set()

    def known() -> bool:
        callers.update(m for (m, name), failed in calls.failed.items() if name == "n4" and failed)
        return calls.avoiding("n4") == 1.0

    assert calls.run(5, known) < 5
    assert len(callers) < 12
    assert {a.server for n in calls.tier.nodes for a in calls.advice(n).avoid} == {"n4"}


def test_one_member_at_a_time_tries_a_node_that_is_avoided_and_its_answer_brings_it_back():
    calls = settled()
    calls.down = {"n4"}
    calls.run(20)
    times = [at for at, _, _ in calls.trials]
    assert len(times) >= 3
    assert all(b - a >= HOLD_NS / SECOND for a, b in zip(times, times[1:], strict=False)), times
    assert len({member for _, member, _ in calls.trials}) > 1  # the turn passes on
    calls.down = set()
    assert calls.run(20, lambda: calls.avoiding("n4") == 0.0) < 20
    # Its process had ended: all are told that it is a new one, so that it is not pushed over while it is cold.
    assert sum(bool(calls.advice(n).back) for n in calls.tier.nodes) == 12


def test_the_turn_passes_on_when_those_whose_it_is_are_stopped_or_gone():
    calls = settled(seed=3)
    calls.down = {"n4"}
    calls.run(2)
    before = len(calls.trials)
    for number in list(calls.tier.nodes)[:8]:
        calls.tier.stop(number)
    calls.run(12)
    assert len(calls.trials) > before


def test_one_bad_zone_link_convicts_a_well_node_for_that_zone_alone():
    calls = settled(size=15)
    bad = AttemptStatus.CONNECT_FAILED
    calls.fate = lambda member, node, cls: bad if node == "n4" and member % 3 == 2 else AttemptStatus.OK
    calls.run(6)
    assert all(any(a.server == "n4" for a in calls.advice(n).avoid) for n in members(calls, 2))
    assert not any(calls.advice(n).avoid for n in (*members(calls, 0), *members(calls, 1)))


def test_a_zone_that_is_silent_for_another_is_avoided_there_and_by_nobody_else():
    calls = settled(size=15)
    cut = (  # noqa: E731
        lambda n, node, cls: AttemptStatus.TIMEOUT if n % 3 == 0 and int(node[1:]) % 3 == 1 else AttemptStatus.OK
    )
    calls.fate = cut
    calls.run(4)
    assert all(calls.advice(n).zones == (1,) for n in members(calls, 0))
    assert not any(calls.advice(n).zones for n in (*members(calls, 1), *members(calls, 2)))


def test_one_sidecars_bad_link_to_all_nodes_takes_nobody_out():
    calls = settled()
    calls.fate = lambda member, node, cls: AttemptStatus.TIMEOUT if member == 0 else AttemptStatus.OK
    for _ in range(20):
        calls.run(0.5)
        assert not any(calls.advice(n).avoid for n in calls.tier.nodes)


def test_a_node_that_fails_one_class_is_avoided_for_that_class():
    calls = settled(classes=3)
    calls.fate = lambda member, node, cls: AttemptStatus.ERROR if node == "n4" and cls == 2 else AttemptStatus.OK
    assert calls.run(10, lambda: calls.avoiding("n4", 2) >= 0.9) < 10
    assert calls.avoiding("n4") == 0.0
    assert calls.avoiding("n4", 1) == 0.0


@pytest.mark.parametrize("liars", [1, 2, 4])
def test_liars_that_call_every_node_bad_take_none_out_for_long(liars):
    """Up to a third of all: their words are outweighed by who calls the nodes and is answered, all but a tenth of
    the time."""
    calls = settled(size=12, seed=5)
    calls.liars = {number: tuple(calls.zone_of) for number in range(liars)}
    avoided = []
    for _ in range(40):
        calls.run(0.25)
        avoided.append(max(len({a.server for a in calls.advice(n).avoid}) for n in members(calls)))
    assert max(avoided) <= SHARE * 12
    if liars < module.WITNESSES:
        assert max(avoided) == 0
    assert sum(avoided) <= 0.1 * 12 * len(avoided), avoided


def test_a_share_of_the_nodes_at_most_is_avoided_however_many_are_dead():
    calls = settled()
    calls.down = {f"n{i}" for i in range(0, 12, 2)}
    calls.run(5)
    for number in calls.tier.nodes:
        assert len({a.server for a in calls.advice(number).avoid}) <= SHARE * 12


def test_halves_that_are_cut_from_each_other_reach_their_own_verdicts_and_agree_when_healed():
    calls = settled()
    half, other = tuple(range(6)), tuple(range(6, 12))
    calls.play((Step(0, "link", half, other, CUT), Step(0, "link", other, half, CUT)), 0.5)
    calls.fate = lambda member, node, cls: (
        AttemptStatus.CONNECT_FAILED if node == "n4" and member < 6 else AttemptStatus.OK
    )
    calls.run(5)
    assert {any(calls.advice(n).avoid for n in half)} == {True}
    assert not any(calls.advice(n).avoid for n in other)
    calls.fate = lambda member, node, cls: AttemptStatus.OK
    calls.play((Step(0, "heal"),), 20)
    assert calls.avoiding("n4") == 0.0


@pytest.mark.parametrize(
    "link", [Link(lose=0.5), Link(twice=1.0), Link(delay_s=(0.0, 2.0)), Link(flap_s=1.0)],
    ids=["half lost", "all twice", "out of order", "flapping"],
)  # fmt: skip
def test_on_bad_links_a_dead_node_is_found_and_no_well_one(link):
    calls = settled()
    everybody = tuple(range(12))
    calls.play((Step(0, "link", everybody, everybody, link),), 0.1)
    calls.down = {"n4"}
    assert calls.run(15, lambda: calls.avoiding("n4") >= 0.9) < 15
    assert {a.server for n in calls.tier.nodes for a in calls.advice(n).avoid} == {"n4"}


def test_seven_in_ten_that_come_back_with_nothing_learn_the_verdict_again():
    calls = settled()
    calls.down = {"n4"}
    calls.run(3)
    calls.play((Step(0, "kill", tuple(range(8))), Step(0.5, "start", tuple(range(8)))), 1)
    assert calls.run(15, lambda: calls.avoiding("n4") == 1.0) < 15


def test_a_verdict_ends_when_nobody_says_anything_any_more():
    calls = settled()
    calls.down = {"n4"}
    calls.run(2)
    calls.rate = 0.0
    calls.run(LASTS_NS / SECOND + 1)
    assert all(calls.advice(n) == Advice() for n in calls.tier.nodes)


WORDS = st.lists(
    st.tuples(st.integers(1, 4), st.sampled_from(What), st.integers(0, 3), st.integers(1, 40),
              st.sampled_from(Word), st.integers(0, 2)),
    max_size=40, unique_by=lambda w: (w[0], w[3]),
)  # fmt: skip


@given(WORDS, st.randoms(use_true_random=False))
@settings(max_examples=200)
def test_order_repeats_and_losses_do_not_matter_to_facts(words, order):
    """Against a plain model: of one owner and subject the word with the greatest counter."""
    known = Facts(0, 0)
    heard = words + [w for w in words if order.random() < 0.5]
    order.shuffle(heard)
    for owner, what, subject, counter, word, detail in heard:
        known.heard(SECOND, owner, 7, 1, (Fact(what, subject, counter, word, detail, 0),))
    for what in What:
        for subject in range(4):
            model = {}
            for owner, kind, about, _, word, detail in sorted(words, key=lambda w: w[3]):
                if (kind, about) == (what, subject):
                    model[owner, detail] = word
            found = {(s.owner, s.fact.detail): s.fact.word for s in known.about(SECOND, what, subject)}
            assert found == model
    assert not any(known.about(SECOND + LASTS_NS, what, n) for what in What for n in range(4))


def test_words_of_a_life_before_do_not_come_back():
    known = Facts(0, 0)
    fact = Fact(What.NODE, 5, 9, Word.FAILS, 0, 0)
    known.heard(1, 3, 111, 1, (fact,))
    known.heard(2, 3, 222, 2, (fact._replace(counter=1, word=Word.WELL),))
    known.heard(3, 3, 111, 1, (fact._replace(counter=10),))
    assert [s.fact.word for s in known.about(4, What.NODE, 5)] == [Word.WELL]


@given(st.integers(0, 2**32))
@settings(max_examples=10)
def test_members_that_know_the_same_agree_on_whose_turn_it_is(seed):
    rng = random.Random(seed)
    key, tried_by = (rng.getrandbits(32), -1), rng.randrange(-1, 8)
    orders = []
    for me in range(8):
        one = module.Verdicts(Facts(me, 0), ("a",), rng.random, lambda: list(range(8)))
        verdict = module._Verdict(0, 0, tried_by=tried_by)
        orders.append(one._next_trial(key, verdict))
    assert len(set(orders)) == 8  # no two at a time, a turn apart
    assert all(abs(a - b) >= HOLD_NS for a in orders for b in orders if a != b)


# --- planted faults ------------------------------------------------------------------------------


def test_a_verdict_without_age_is_found(monkeypatch):
    for part in (facts_module, module):
        monkeypatch.setattr(part, "LASTS_NS", 3600 * SECOND)
    with pytest.raises(AssertionError):
        test_a_verdict_ends_when_nobody_says_anything_any_more()


def test_a_liars_weight_without_bound_is_found(monkeypatch):
    monkeypatch.setattr(module, "WITNESSES", 1)
    monkeypatch.setattr(module, "WELL_WEIGHS", 0)
    with pytest.raises(AssertionError):
        test_liars_that_call_every_node_bad_take_none_out_for_long(1)


def test_trials_that_all_make_at_once_are_found(monkeypatch):
    monkeypatch.setattr(module.Verdicts, "_weight", lambda self, key, verdict, member: 0)
    with pytest.raises(AssertionError):
        test_one_member_at_a_time_tries_a_node_that_is_avoided_and_its_answer_brings_it_back()
