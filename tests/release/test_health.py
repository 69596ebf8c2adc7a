"""Who is to blame: by table, by drawn storms, and by the exact figures of the interval."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.release.health import Answers, Verdict, clustering, judge, least_difference, wilson

WELL, WORSE, EVERYWHERE, FEW = Verdict.WELL, Verdict.WORSE, Verdict.EVERYWHERE, Verdict.TOO_FEW


@pytest.mark.parametrize(
    "changed, others, before, verdict",
    [
        ((19, 19), (1000, 0), (1000, 0), FEW),
        ((1000, 10), (1000, 0), (1000, 0), WELL),
        ((1000, 100), (1000, 0), (1000, 0), WORSE),
        ((1000, 300), (1000, 300), (1000, 0), EVERYWHERE),
        ((1000, 400), (1000, 300), (1000, 0), WORSE),  # does not hide behind a storm
        ((1000, 340), (1000, 300), (1000, 0), EVERYWHERE),
        ((1000, 100), (0, 0), (1000, 0), WORSE),  # nobody to compare with
        ((1000, 100), (0, 0), (1000, 80), WELL),
        ((1000, 100), (0, 0), (0, 0), WORSE),
        ((20, 3), (1000, 0), (1000, 0), WORSE),
        ((20, 3), (20, 0), (1000, 0), WELL),  # may be chance
        ((1000, 0), (1000, 300), (1000, 0), WELL),
        ((1000, 50), (1000, 0), (1000, 0), WELL),  # just what may be
        ((1000, 51), (1000, 0), (1000, 0), WORSE),
    ],
)
def test_the_table(changed, others, before, verdict):
    found = judge(Answers(*changed), [Answers(*others)], Answers(*before), 0.05, 20)
    assert found.verdict is verdict, found.text
    assert f"of {changed[0]} answers" in found.text


def test_what_is_everywhere_is_said_to_have_another_cause():
    text = judge(Answers(1000, 300), [Answers(500, 160)], Answers(900, 9), 0.05, 20).text
    assert text.endswith("1000 answers, 32.0% where it is not, 1.0% before: another cause than this change")


@given(st.integers(1, 10_000), st.floats(0, 1))
def test_an_interval_holds_its_share(count, share):
    answers = Answers(count, round(count * share))
    low, high = wilson(answers)
    assert 0 <= low <= answers.share + 1e-9 and answers.share - 1e-9 <= high <= 1


def test_the_interval_is_newcombe_s():
    """His example (1998, table II, a): 56 of 70 and 48 of 80, from 0.0524 to 0.3339."""
    assert least_difference(Answers(70, 56), Answers(80, 48)) == pytest.approx(0.0524, abs=5e-5)
    assert -least_difference(Answers(80, 48), Answers(70, 56)) == pytest.approx(0.3339, abs=5e-5)
    assert wilson(Answers()) == (0.0, 1.0)


@pytest.mark.parametrize(
    "storm, harm, blamed", [(0.3, 0.0, (0, 6)), (0.3, 0.15, (190, 200)), (0.0, 0.15, (190, 200))]
)
def test_storms_are_blamed_on_no_change_and_hide_none(storm, harm, blamed):
    """200 drawn pairs of 400 and 2,000 answers: a wrong word in 1 of 40 at most by the interval, far fewer as the
    difference has to be above 5 % as well."""
    rng = random.Random(5)
    found = 0
    for _ in range(200):
        changed = Answers(400, sum(rng.random() < storm + harm for _ in range(400)))
        others = Answers(2000, sum(rng.random() < storm for _ in range(2000)))
        found += judge(changed, [others], Answers(400, 2), 0.05, 20).verdict is WORSE
    assert blamed[0] <= found <= blamed[1], found


def test_a_canary_is_not_blamed_for_luck_that_some_of_the_others_have_too():
    """One that finds the nodes again later than most."""
    lucky, unlucky = Answers(100, 0), Answers(100, 30)
    before = Answers(1000, 0)
    assert judge(Answers(100, 25), [lucky, lucky, unlucky], before, 0.05, 20).verdict is not WORSE
    assert judge(Answers(100, 35), [lucky, lucky, unlucky], before, 0.05, 20).verdict is WORSE
    assert judge(Answers(100, 25), [lucky] * 95 + [unlucky] * 5, before, 0.05, 20).verdict is WORSE
    assert judge(Answers(100, 25), [lucky] * 94 + [unlucky] * 6, before, 0.05, 20).verdict is not WORSE
    assert judge(Answers(100, 45), [lucky, Answers(19, 19)], before, 0.05, 20).verdict is WORSE, "19 are too few"


def test_answers_add_up():
    assert Answers(3, 1) + Answers(4, 0) == Answers(7, 1)
    with pytest.raises(TypeError):
        Answers(1, 0) + 3  # type: ignore[operator]


def in_spells(rng: random.Random, slices: int, share: float) -> list[Answers]:
    """A sidecar that refuses all for some slices on end, and serves all in others: bad for about such a share."""
    found: list[Answers] = []
    while len(found) < slices:
        bad = rng.random() < share
        found += [Answers(8, 8 * bad)] * rng.randint(2, 5)
    return found[:slices]


def test_independent_answers_are_not_inflated_and_spells_are():
    rng = random.Random(3)
    alone = [[Answers(20, sum(rng.random() < 0.3 for _ in range(20))) for _ in range(16)] for _ in range(6)]
    assert clustering(alone) < 3.0
    assert clustering([in_spells(rng, 16, 0.5) for _ in range(6)]) > 12.0
    assert clustering([]) == clustering([[]]) == clustering([[Answers(5, 5)]]) == 1.0
    assert clustering([[Answers(5, 0), Answers(9, 0)]]) == 1.0


@pytest.mark.parametrize(
    "storm, harm, blamed", [(0.6, 0.6, (0, 16)), (0.25, 0.25, (0, 24)), (0.25, 1.0, (320, 400))]
)
def test_a_canary_in_a_longer_spell_of_a_storm_is_not_blamed_and_a_bad_change_still_is(storm, harm, blamed):
    """Its answers come in spells, as the others' do: 400 drawn storms with three others. One in forty may be
    blamed without harm by the interval; over 1,500 draws it was 2.3 and 4.1 %, and 21 % with answers taken for
    independent."""
    rng = random.Random(11)
    found = plain = 0
    for _ in range(400):
        others = [in_spells(rng, 20, storm) for _ in range(3)]
        totals = [sum(one, Answers()) for one in others]
        canary, before = sum(in_spells(rng, 20, harm), Answers()), Answers(1000, 0)
        found += judge(canary, totals, before, 0.05, 20, clustering(others)).verdict is WORSE
        plain += judge(canary, totals, before, 0.05, 20).verdict is WORSE
    assert blamed[0] <= found <= blamed[1]
    assert plain > 60, "with answers taken for independent"
