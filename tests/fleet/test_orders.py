"""Orders as desired state: saved before they are sent, reconciled, restored; late or reordered messages are
harmless."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.control.orders import NO_ORDERS, Orders, RosterMode, from_dict
from covetally.fleet.orders import Command, DesiredOrders
from covetally.fleet.store import CannotKeepError, Store

AT = 1_000.0


@pytest.fixture
def store(tmp_path):
    made = Store(tmp_path / "store.db")
    yield made
    made.close()


def test_an_order_is_saved_at_once_and_survives_an_agent_restart(store):
    DesiredOrders(store).record("a0", Command("drain", "anna", "night", 4.0), AT)
    reloaded = DesiredOrders(store)
    assert reloaded.desired("a0") == Orders(1, True, 4.0) and reloaded.desired("a1") == NO_ORDERS
    assert reloaded.as_dict("a0") | {"who": "anna", "at": AT, "why": "night"} == reloaded.as_dict("a0")
    assert reloaded.record("a1", Command("hold", "bert"), AT).revision == 2, "revision numbers continue"


def test_an_order_that_cannot_be_saved_changes_nothing(store):
    orders = DesiredOrders(store)
    orders.record("a0", Command("drain", "anna"), AT)
    store._db.execute("PRAGMA query_only = ON")
    with pytest.raises(CannotKeepError):
        orders.record("a0", Command("resume", "anna"), AT)
    assert orders.desired("a0").draining
    store._db.execute("PRAGMA query_only = OFF")
    assert orders.record("a0", Command("resume", "anna"), AT) == Orders(2)


def test_a_refused_order_is_reverted_unless_a_later_order_came(store):
    orders = DesiredOrders(store)
    before = orders.record("a0", Command("drain", "anna"), AT)
    refused = orders.record("a0", Command("hold", "anna"), AT)
    orders.revert("a0", refused, before, AT)
    assert orders.desired("a0") == Orders(3, draining=True)
    refused = orders.record("a0", Command("hold", "anna"), AT)
    later = orders.record("a0", Command("resume", "bert"), AT)
    orders.revert("a0", refused, before, AT)
    assert orders.desired("a0") == later


def test_after_the_loss_of_the_store_orders_are_adopted_from_reports(store):
    orders = DesiredOrders(store)
    orders.reconcile("a0", Orders(9, True, None, RosterMode.HOLD).as_dict(), AT)
    assert orders.desired("a0") == Orders(9, True, None, RosterMode.HOLD)
    assert orders.record("a1", Command("drain", "anna"), AT).revision == 10
    orders.reconcile("a0", Orders(4).as_dict(), AT)  # a late report does not change the desired state
    assert orders.desired("a0").draining
    orders.reconcile("a0", None, AT)  # from a version without orders
    orders.reconcile("a0", {"revision": "x"}, AT)
    assert orders.desired("a0").revision == 9


@given(st.lists(st.sampled_from(["drain", "resume", "hold", "auto"]), max_size=12), st.randoms())
def test_keeping_the_highest_revision_ends_in_the_last_state_for_any_message_order(actions, random):
    states, state = [], NO_ORDERS
    for revision, action in enumerate(actions, 1):
        state = state.with_order(action, revision)
        states.append(state)
    received = [from_dict(each.as_dict()) for each in states * 2]  # each twice, in any order
    random.shuffle(received)
    held = NO_ORDERS
    for each in received:
        held = max(held, each, key=lambda orders: orders.revision)
    assert held == state


@pytest.mark.parametrize(
    "table",
    [
        None,
        {},
        {"revision": -1},
        Orders().as_dict() | {"roster": "x"},
        Orders().as_dict() | {"within_s": "1"},
        Orders().as_dict() | {"draining": 1},
    ],
)
def test_an_invalid_table_is_rejected(table):
    with pytest.raises(ValueError):
        from_dict(table)
