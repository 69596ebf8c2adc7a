"""Orders as desired state: kept before they are told, compared, restored; late and crossed ones do no harm."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from covetally.control.orders import NO_ORDERS, Orders, RosterMode, from_dict
from covetally.fleet.orders import Command, OrderBook
from covetally.fleet.store import CannotKeepError, Store

AT = 1_000.0


@pytest.fixture
def store(tmp_path):
    made = Store(tmp_path / "store.db")
    yield made
    made.close()


def test_an_order_is_on_disk_when_it_is_given_and_holds_in_the_next_agent(store):
    OrderBook(store).order("a0", Command("drain", "anna", "night", 4.0), AT)
    again = OrderBook(store)
    assert again.of("a0") == Orders(1, True, 4.0) and again.of("a1") == NO_ORDERS
    assert again.table("a0") | {"who": "anna", "at": AT, "why": "night"} == again.table("a0")
    assert again.order("a1", Command("hold", "bert"), AT).revision == 2, "numbers go on"


def test_what_the_disk_does_not_take_is_not_wanted(store):
    book = OrderBook(store)
    book.order("a0", Command("drain", "anna"), AT)
    store._db.execute("PRAGMA query_only = ON")
    with pytest.raises(CannotKeepError):
        book.order("a0", Command("resume", "anna"), AT)
    assert book.of("a0").draining
    store._db.execute("PRAGMA query_only = OFF")
    assert book.order("a0", Command("resume", "anna"), AT) == Orders(2)


def test_what_an_instance_refuses_is_what_it_was_before_unless_another_order_came(store):
    book = OrderBook(store)
    before = book.order("a0", Command("drain", "anna"), AT)
    refused = book.order("a0", Command("hold", "anna"), AT)
    book.withdraw("a0", refused, before, AT)
    assert book.of("a0") == Orders(3, draining=True)
    refused = book.order("a0", Command("hold", "anna"), AT)
    later = book.order("a0", Command("resume", "bert"), AT)
    book.withdraw("a0", refused, before, AT)
    assert book.of("a0") == later


def test_a_store_that_was_lost_learns_orders_from_whoever_holds_them(store):
    book = OrderBook(store)
    book.reported("a0", Orders(9, True, None, RosterMode.HOLD).as_dict(), AT)
    assert book.of("a0") == Orders(9, True, None, RosterMode.HOLD)
    assert book.order("a1", Command("drain", "anna"), AT).revision == 10
    book.reported("a0", Orders(4).as_dict(), AT)  # late: what is wanted stays
    assert book.of("a0").draining
    book.reported("a0", None, AT)  # of a version that keeps none
    book.reported("a0", {"revision": "x"}, AT)
    assert book.of("a0").revision == 9


@given(st.lists(st.sampled_from(["drain", "resume", "hold", "auto"]), max_size=12), st.randoms())
def test_whoever_takes_the_highest_revision_ends_in_the_last_state_however_messages_cross(words, random):
    states, state = [], NO_ORDERS
    for revision, word in enumerate(words, 1):
        state = state.with_order(word, revision)
        states.append(state)
    crossed = [from_dict(each.as_dict()) for each in states * 2]  # each comes twice, in any order
    random.shuffle(crossed)
    held = NO_ORDERS
    for each in crossed:
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
def test_what_is_no_orders_is_said_to_be_none(table):
    with pytest.raises(ValueError):
        from_dict(table)
