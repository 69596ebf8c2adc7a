"""Outlier detection across a tier: dead nodes, false reports, bad links, probes; and injected faults."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from covetally.interface import AttemptStatus
from covetally.lab.outlier_detection import OutlierSimulation
from covetally.rig.schedule import Link, Step
from covetally.tier import outlier_detection as module
from covetally.tier import reports as reports_module
from covetally.tier.reports import REPORT_LIFETIME_NS, Report, ReportKind, ReportStatus, ReportStore
from covetally.tier.swim import SECOND
from covetally.tier.outlier_detection import MAX_EJECTED_FRACTION, PROBE_SLOT_NS, Ejections

CUT = Link(cut=True)


def members(calls: OutlierSimulation, zone: int | None = None) -> list[int]:
    return [n for n in calls.tier.nodes if n not in calls.false_reporters and (zone is None or n % 3 == zone)]


def settled(size: int = 12, nodes: int = 12, seed: int = 1, **more) -> OutlierSimulation:
    calls = OutlierSimulation(size, nodes, seed, **more)
    calls.run(3)
    assert all(calls.ejections(n) == Ejections() for n in calls.tier.nodes)
    return calls


def test_a_dead_node_is_ejected_by_members_that_never_called_it_and_no_other_node_is():
    calls = settled()
    calls.down = {"n4"}
    callers: set[int] = set()

    def known() -> bool:
        callers.update(m for (m, name), failed in calls.failed.items() if name == "n4" and failed)
        return calls.ejecting_share("n4") == 1.0

    assert calls.run(5, known) < 5
    assert len(callers) < 12
    assert {a.server for n in calls.tier.nodes for a in calls.ejections(n).servers} == {"n4"}


def test_one_member_at_a_time_probes_an_ejected_node_and_a_success_restores_it():
    calls = settled()
    calls.down = {"n4"}
    calls.run(20)
    times = [at for at, _, _ in calls.probes]
    assert len(times) >= 3
    assert all(b - a >= PROBE_SLOT_NS / SECOND for a, b in zip(times, times[1:], strict=False)), times
    assert len({member for _, member, _ in calls.probes}) > 1  # the turn passes to other members
    calls.down = set()
    assert calls.run(20, lambda: calls.ejecting_share("n4") == 0.0) < 20
    # Its process had ended, so all balancers learn that it is a new one and apply slow start.
    assert sum(bool(calls.ejections(n).restarted) for n in calls.tier.nodes) == 12


def test_probing_continues_when_the_members_whose_turn_it_is_are_stopped():
    calls = settled(seed=3)
    calls.down = {"n4"}
    calls.run(2)
    before = len(calls.probes)
    for number in list(calls.tier.nodes)[:8]:
        calls.tier.stop(number)
    calls.run(12)
    assert len(calls.probes) > before


def test_a_node_unreachable_from_one_zone_is_ejected_in_that_zone_only():
    calls = settled(size=15)
    bad = AttemptStatus.CONNECT_FAILED
    calls.attempt_status = lambda member, node, cls: bad if node == "n4" and member % 3 == 2 else AttemptStatus.OK
    calls.run(6)
    assert all(any(a.server == "n4" for a in calls.ejections(n).servers) for n in members(calls, 2))
    assert not any(calls.ejections(n).servers for n in (*members(calls, 0), *members(calls, 1)))


def test_a_zone_that_does_not_answer_another_zone_is_avoided_in_that_zone_only():
    calls = settled(size=15)
    fate = (  # noqa: E731
        lambda n, node, cls: AttemptStatus.TIMEOUT if n % 3 == 0 and int(node[1:]) % 3 == 1 else AttemptStatus.OK
    )
    calls.attempt_status = fate
    calls.run(4)
    assert all(calls.ejections(n).zones == (1,) for n in members(calls, 0))
    assert not any(calls.ejections(n).zones for n in (*members(calls, 1), *members(calls, 2)))


def test_one_sidecar_with_a_bad_link_to_all_nodes_ejects_none():
    calls = settled()
    calls.attempt_status = lambda member, node, cls: AttemptStatus.TIMEOUT if member == 0 else AttemptStatus.OK
    for _ in range(20):
        calls.run(0.5)
        assert not any(calls.ejections(n).servers for n in calls.tier.nodes)


def test_a_node_that_fails_one_class_is_ejected_for_that_class_only():
    calls = settled(classes=3)
    calls.attempt_status = lambda member, node, cls: (
        AttemptStatus.ERROR if node == "n4" and cls == 2 else AttemptStatus.OK
    )
    assert calls.run(10, lambda: calls.ejecting_share("n4", 2) >= 0.9) < 10
    assert calls.ejecting_share("n4") == 0.0
    assert calls.ejecting_share("n4", 1) == 0.0


@pytest.mark.parametrize("false_reporters", [1, 2, 4])
def test_false_failure_reports_on_every_node_eject_none_for_long(false_reporters):
    """Up to a third of all members report falsely.

    The healthy reports of members whose calls are answered outweigh theirs, for at least nine tenths of the time.
    """
    calls = settled(size=12, seed=5)
    calls.false_reporters = {number: tuple(calls.zone_of) for number in range(false_reporters)}
    avoided = []
    for _ in range(40):
        calls.run(0.25)
        avoided.append(max(len({a.server for a in calls.ejections(n).servers}) for n in members(calls)))
    assert max(avoided) <= MAX_EJECTED_FRACTION * 12
    if false_reporters < module.MIN_REPORTERS:
        assert max(avoided) == 0
    assert sum(avoided) <= 0.1 * 12 * len(avoided), avoided


def test_the_ejected_fraction_is_bounded_however_many_nodes_are_dead():
    calls = settled()
    calls.down = {f"n{i}" for i in range(0, 12, 2)}
    calls.run(5)
    for number in calls.tier.nodes:
        assert len({a.server for a in calls.ejections(number).servers}) <= MAX_EJECTED_FRACTION * 12


def test_partitioned_halves_eject_independently_and_agree_after_healing():
    calls = settled()
    half, other = tuple(range(6)), tuple(range(6, 12))
    calls.play((Step(0, "link", half, other, CUT), Step(0, "link", other, half, CUT)), 0.5)
    calls.attempt_status = lambda member, node, cls: (
        AttemptStatus.CONNECT_FAILED if node == "n4" and member < 6 else AttemptStatus.OK
    )
    calls.run(5)
    assert {any(calls.ejections(n).servers for n in half)} == {True}
    assert not any(calls.ejections(n).servers for n in other)
    calls.attempt_status = lambda member, node, cls: AttemptStatus.OK
    calls.play((Step(0, "heal"),), 20)
    assert calls.ejecting_share("n4") == 0.0


@pytest.mark.parametrize(
    "link", [Link(lose=0.5), Link(twice=1.0), Link(delay_s=(0.0, 2.0)), Link(flap_s=1.0)],
    ids=["half lost", "all duplicated", "out of order", "flapping"],
)  # fmt: skip
def test_over_bad_links_a_dead_node_is_ejected_and_no_healthy_one(link):
    calls = settled()
    all_members = tuple(range(12))
    calls.play((Step(0, "link", all_members, all_members, link),), 0.1)
    calls.down = {"n4"}
    assert calls.run(15, lambda: calls.ejecting_share("n4") >= 0.9) < 15
    assert {a.server for n in calls.tier.nodes for a in calls.ejections(n).servers} == {"n4"}


def test_members_that_restart_without_state_learn_the_ejection_again():
    calls = settled()
    calls.down = {"n4"}
    calls.run(3)
    calls.play((Step(0, "kill", tuple(range(8))), Step(0.5, "start", tuple(range(8)))), 1)
    assert calls.run(15, lambda: calls.ejecting_share("n4") == 1.0) < 15


def test_an_ejection_ends_when_all_reports_have_expired():
    calls = settled()
    calls.down = {"n4"}
    calls.run(2)
    calls.rate = 0.0
    calls.run(REPORT_LIFETIME_NS / SECOND + 1)
    assert all(calls.ejections(n) == Ejections() for n in calls.tier.nodes)


REPORTS = st.lists(
    st.tuples(st.integers(1, 4), st.sampled_from(ReportKind), st.integers(0, 3), st.integers(1, 40),
              st.sampled_from(ReportStatus), st.integers(0, 2)),
    max_size=40, unique_by=lambda w: (w[0], w[3]),
)  # fmt: skip


@given(REPORTS, st.randoms(use_true_random=False))
@settings(max_examples=200)
def test_reports_do_not_depend_on_order_or_repetition(reports, order):
    """Compares with a simple model: of one owner and subject, the report with the highest counter counts."""
    store = ReportStore(0, 0)
    received = reports + [w for w in reports if order.random() < 0.5]
    order.shuffle(received)
    for owner, kind, subject, counter, status, detail in received:
        store.receive(SECOND, owner, 7, 1, (Report(kind, subject, counter, status, detail, 0),))
    for kind in ReportKind:
        for subject in range(4):
            model = {}
            for owner, about_kind, about, _, status, detail in sorted(reports, key=lambda w: w[3]):
                if (about_kind, about) == (kind, subject):
                    model[owner, detail] = status
            found = {(s.owner, s.report.detail): s.report.status for s in store.find(SECOND, kind, subject)}
            assert found == model
    assert not any(store.find(SECOND + REPORT_LIFETIME_NS, kind, n) for kind in ReportKind for n in range(4))


def test_delayed_reports_of_an_earlier_process_are_ignored():
    store = ReportStore(0, 0)
    report = Report(ReportKind.SERVER, 5, 9, ReportStatus.FAILING, 0, 0)
    store.receive(1, 3, 111, 1, (report,))
    store.receive(2, 3, 222, 2, (report._replace(counter=1, status=ReportStatus.HEALTHY),))
    store.receive(3, 3, 111, 1, (report._replace(counter=10),))
    assert [s.report.status for s in store.find(4, ReportKind.SERVER, 5)] == [ReportStatus.HEALTHY]


@given(st.integers(0, 2**32))
@settings(max_examples=10)
def test_members_with_the_same_information_agree_on_the_order_of_probes(seed):
    rng = random.Random(seed)
    key, probed_by = (rng.getrandbits(32), -1), rng.randrange(-1, 8)
    orders = []
    for me in range(8):
        detector = module.OutlierDetector(ReportStore(me, 0), ("a",), rng.random, lambda: list(range(8)))
        ejection = module._Ejection(0, 0, probed_by=probed_by)
        orders.append(detector._next_probe(key, ejection))
    assert len(set(orders)) == 8  # no two at the same time
    assert all(abs(a - b) >= PROBE_SLOT_NS for a in orders for b in orders if a != b)


# --- injected faults -----------------------------------------------------------------------------


def test_reports_that_never_expire_are_detected(monkeypatch):
    for part in (reports_module, module):
        monkeypatch.setattr(part, "REPORT_LIFETIME_NS", 3600 * SECOND)
    with pytest.raises(AssertionError):
        test_an_ejection_ends_when_all_reports_have_expired()


def test_an_unbounded_weight_of_one_reporter_is_detected(monkeypatch):
    monkeypatch.setattr(module, "MIN_REPORTERS", 1)
    monkeypatch.setattr(module, "HEALTHY_REPORT_WEIGHT", 0)
    with pytest.raises(AssertionError):
        test_false_failure_reports_on_every_node_eject_none_for_long(1)


def test_simultaneous_probes_by_all_members_are_detected(monkeypatch):
    monkeypatch.setattr(module.OutlierDetector, "_probe_weight", lambda self, key, ejection, member: 0)
    with pytest.raises(AssertionError):
        test_one_member_at_a_time_probes_an_ejected_node_and_a_success_restores_it()
