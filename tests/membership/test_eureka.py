"""Eureka's words: entries, answers read as they come, the view with deltas and hash, the order of addresses."""

from __future__ import annotations

import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from covetally.membership.eureka import instance_parser
from covetally.membership.eureka.instance_parser import BadEntry, Keys
from covetally.membership.eureka.lease import Act, Health, Lease
from covetally.membership.eureka.answer_parser import MAX_ENTRY, Damaged, JsonReader, XmlReader
from covetally.membership.eureka.address_selector import FIRST_NS, LONGEST_NS, Registries
from covetally.membership.eureka.registry_view import View
from covetally.membership.model import DOWN, LEAVING, STARTING, UP
from covetally.rig import eureka as standin
from tests.membership.registry_harness import node

KEYS = Keys()


def read(**changes):
    return instance_parser.read(node(1) | changes, KEYS)


def member(**changes):
    found = read(**changes)
    assert found.member is not None, found.why
    return found.member


def test_states_and_overrides():
    words = {"UP": UP, "STARTING": STARTING, "DOWN": DOWN, "OUT_OF_SERVICE": LEAVING, "UNKNOWN": DOWN}
    for word, state in words.items():
        assert (member(status=word).state, member(status=word).word) == (state, word)
    assert member(overriddenstatus="OUT_OF_SERVICE").state == LEAVING
    assert member(overriddenstatus="", overriddenStatus="DOWN").state == DOWN
    assert member(status="STARTING", overriddenstatus="OUT_OF_SERVICE").state == STARTING
    assert member(overriddenstatus="UP").state == UP
    assert "status 'ODD'" in read(status="odd").why


def test_metadata_is_mapped_by_the_operators_names():
    metadata = {
        "zone": "a", "machineType": "m", "cell": "7", "weight": "0.5", "drain": "true", "startedAtMs": "12",
    }  # fmt: skip
    found = member(metadata=metadata)
    assert (found.zone, found.kind, found.cell, found.weight, found.boot) == ("a", "m", 7, 0.5, 12)
    assert (found.state, found.word) == (LEAVING, "drain")
    other = instance_parser.read(node(1, metadata={"rack": "r", "zone": "a"}), Keys(zone="rack")).member
    assert other is not None and other.zone == "r"
    center = {"name": "Amazon", "metadata": {"availability-zone": "eu-1a"}}
    assert member(dataCenterInfo=center).zone == "eu-1a"
    for key, value in (("cell", "x"), ("cell", "-1"), ("weight", "nan"), ("weight", "1e99")):
        assert f"metadata {key}" in read(metadata={key: value}).why
    for odd in (None, [], "x", {"@class": "java.util.Collections$EmptyMap"}):
        assert member(metadata=odd).zone == ""


@pytest.mark.parametrize(
    ("changes", "why"),
    [
        ({"ipAddr": "ledger.example.org", "hostName": "ledger"}, "no address"),
        ({"ipAddr": "0.0.0.0"}, "not an address to connect to"),
        ({"ipAddr": "224.0.0.1"}, "not an address to connect to"),
        ({"port": {"$": 0, "@enabled": "true"}}, "port '0'"),
        ({"port": {"$": "65536", "@enabled": "true"}}, "port '65536'"),
        ({"port": {"$": "x"}}, "port 'x'"),
        ({"port": None}, "not enabled"),
        (
            {"port": {"$": 80, "@enabled": "false"}, "securePort": {"$": 443, "@enabled": "true"}},
            "a secure one is",
        ),
    ],
)
def test_what_cannot_be_used_is_named(changes, why):
    found = read(**changes)
    assert found.member is None and why in found.why and found.id == "n1"


def test_addresses_and_ports_in_all_their_forms():
    assert member(port={"$": "8080", "@enabled": "true"}).address == ("127.0.0.1", 8080)
    assert member(port=8080).address == ("127.0.0.1", 8080)
    assert member(port={"$": 8080, "@enabled": True}).address == ("127.0.0.1", 8080)
    assert member(ipAddr="2001:DB8::7").address[0] == "2001:db8::7"
    assert member(ipAddr="", hostName="10.0.0.7").address[0] == "10.0.0.7"


def test_an_entry_without_an_id_is_known_by_its_host_or_not_at_all():
    assert read(instanceId=None).id == "127.0.0.1"
    with pytest.raises(BadEntry):
        read(instanceId="", hostName="x" * 300)


def test_other_applications_are_read_for_the_hash_only():
    found = instance_parser.read(node(1, port=None), KEYS, "", "OTHER")
    assert found.member is None and found.why == "" and found.status == "UP"


# --- answers as they come --------------------------------------------------------------------------------


def parsed(text: str, size: int = 10_000_000, form=JsonReader):
    found = []
    reader = form(lambda app, raw: found.append((app, raw)))
    for at in range(0, len(text), size):
        reader.feed(text[at : at + size])
    reader.close()
    return found, reader.hash


RECORDS = [node(i) for i in range(5)] + [standin.instance("ÜBRIGE", 'x"{[', "10.0.0.1", 1)]


@given(size=st.integers(1, 3000), count=st.integers(0, 6), single=st.booleans())
@settings(max_examples=60, deadline=None, derandomize=True)
def test_json_in_pieces_is_what_the_library_reads_whole(size, count, single):
    records = RECORDS[6 - count :]
    text = standin._json(records, "UP_1_", "all", single)
    found, hash_ = parsed(text, size)
    whole = json.loads(text)["applications"]["application"]
    apps = whole if isinstance(whole, list) else [whole]
    assert [raw for _, raw in found] == [
        raw for a in apps for raw in (a["instance"] if isinstance(a["instance"], list) else [a["instance"]])
    ]
    assert hash_ == "UP_1_"


def test_all_forms_of_an_answer():
    one = json.dumps(node(1))
    for text in (
        f'{{"application": {{"name": "LEDGER", "instance": [{one}]}}}}',
        f'{{"application": {{"name": "LEDGER", "instance": {one}}}}}',
        f'{{"instance": {one}}}',
        f'{{"applications": {{"x": [1, {{}}], "application": {{"instance": {one}, "name": "LEDGER"}}}}}}',
    ):
        found, _ = parsed(text, 7)
        assert [raw["instanceId"] for _, raw in found] == ["n1"]
    for text in ('{"applications": {}}', '{"applications": {"application": null}}',
                 '{"application": {"name": "X"}}'):  # fmt: skip
        assert parsed(text) == ([], None)


def test_xml_is_brought_into_the_form_of_json():
    text = standin._xml(RECORDS, "UP_6_", "all")
    for size in (1, 100, 100_000):
        found, hash_ = parsed(text, size, XmlReader)
        assert hash_ == "UP_6_" and [app for app, _ in found] == ["LEDGER"] * 5 + ["ÜBRIGE"]
        for (_, raw), record in zip(found, RECORDS, strict=True):
            there, here = instance_parser.read(raw, KEYS), instance_parser.read(record, KEYS)
            assert there == here and there.member == here.member
    assert parsed(standin._xml([node(1)], "", "app"), 50, XmlReader)[0][0][0] == "LEDGER"


@pytest.mark.parametrize(
    "text",
    [
        "", "{", "[]", "null", '{"applications": 3}', '{"other": {}}', '{"applications": {}} x',
        '{"applications": {"application": [{"name": "A"}',
        '{"applications": {"application": [{"name": "A"} {"name": "B"}]}}',
        '{"applications": {"application": {"instance": 3}}}',
        '{1: 2}', '{"application": {"instance": [' + "[" * 5000,
        '{"applications": {"x": "' + "y" * (2 * MAX_ENTRY) + '"',
    ],
)  # fmt: skip
def test_damaged_json(text):
    with pytest.raises(Damaged):
        parsed(text, 16384)


@pytest.mark.parametrize(
    "text",
    [
        "", "<applications>", "<other/>", "<applications></application>",
        '<!DOCTYPE a [<!ENTITY b "ccccc">]><applications>&b;</applications>',
        "<applications>" + "<a>" * 100, "<application><instance><a>" + "x" * (MAX_ENTRY + 9),
    ],
)  # fmt: skip
def test_damaged_xml(text):
    with pytest.raises(Damaged):
        parsed(text, 16384, XmlReader)


def mutated(rng: random.Random, data: bytes) -> bytes:
    """One to four bytes changed, cut out, put in or doubled, or the tail cut off."""
    body = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(body)) if body else 0
        match rng.randrange(5):
            case 0:
                body[at : at + 1] = bytes([rng.randrange(256)])
            case 1:
                del body[at : at + rng.randint(1, 40)]
            case 2:
                body[at:at] = rng.choice([b'"', b"{", b"}", b"[", b"]", b"\\", b",", b"<", b"\0", b"9" * 400])
            case 3:
                body[at:at] = body[at : at + 60]
            case 4:
                del body[at + rng.randint(0, 2000) :]
    return bytes(body)


def fuzz(seed: int, rounds: int) -> dict[str, int]:
    """Mutated answers: no other exception than Damaged, and nothing lost that the library can still read."""
    rng, counts = random.Random(seed), {"whole": 0, "damaged": 0, "entries": 0}
    texts = {JsonReader: standin._json(RECORDS, "UP_6_", "all", True).encode(),
             XmlReader: standin._xml(RECORDS, "UP_6_", "all").encode()}  # fmt: skip
    for number in range(rounds):
        form = XmlReader if number % 4 == 0 else JsonReader
        text = mutated(rng, texts[form]).decode("utf-8", "replace")
        found = []

        def take(app, raw, found=found):
            try:
                found.append(instance_parser.read(raw, KEYS, app))
            except BadEntry:
                counts["entries"] += 0

        reader = form(take)
        try:
            for at in range(0, len(text), 997):
                reader.feed(text[at : at + 997])
            reader.close()
            counts["whole"] += 1
        except Damaged:
            counts["damaged"] += 1
            continue
        finally:
            counts["entries"] += len(found)
        if form is JsonReader:
            document = json.loads(text)  # what is taken for whole is whole
            readable = _instances(document)
            assert len([1 for raw in readable if _readable(raw)]) == len(found)
    return counts


def _instances(document) -> list:
    """The instances of a decoded answer, by another way than the reader's."""

    def many(value):
        return value if isinstance(value, list) else [value] if value not in (None, "") else []

    if "instance" in document and "applications" not in document and "application" not in document:
        return [document["instance"]]
    apps = many(document["applications"].get("application")) if "applications" in document else []
    return [raw for app in apps for raw in many(app.get("instance"))]


def _readable(raw) -> bool:
    try:
        instance_parser.read(raw if isinstance(raw, dict) else {}, KEYS)
    except BadEntry:
        return False
    return True


def test_mutated_answers_raise_nothing_and_lose_nothing_that_can_be_read():
    counts = fuzz(seed=20261201, rounds=1500)
    assert counts["damaged"] > 300 and counts["whole"] > 100 and counts["entries"] > 3000, counts


# --- the view --------------------------------------------------------------------------------------------


def one(i: int, updated: int, action: str = "", **more):
    record = node(i, lastUpdatedTimestamp=str(updated), actionType=action, lastDirtyTimestamp="5")
    return instance_parser.read(record | more, KEYS)


def view(*instances):
    made = View("ledger", "a")
    for found in instances:
        made.add(found)
    return made


def test_deltas_add_change_and_remove_and_the_hash_follows():
    made = view(one(1, 10), one(2, 10))
    before = made.read()
    assert made.hash() == "UP_2_" and made.fits("UP_2_") and made.fits(None) and not made.fits("UP_3_")
    changes = [one(1, 11, "MODIFIED", status="OUT_OF_SERVICE"), one(2, 12, "DELETED"), one(3, 13, "ADDED")]
    assert made.delta(changes) and made.fits("OUT_OF_SERVICE_1_UP_1_")
    assert {m.id: m.state for m in made.read().members.values()} == {"n1": LEAVING, "n3": UP}
    assert sorted(before.members) == ["n1", "n2"], "what was read before stays as it was"
    revision = made.revision
    assert not made.delta(changes) and made.revision == revision, "twice changes nothing"


def test_the_youngest_change_counts_in_any_order():
    changes = [one(1, 11, "MODIFIED", status="DOWN"), one(1, 12, "DELETED"), one(1, 13, "ADDED")]
    for order in (changes, changes[::-1]):
        made = view(one(1, 10))
        made.delta(order)
        assert made.read().members["n1"].state == UP and made.fits("UP_1_")
    made = view(one(1, 20))
    assert not made.delta([one(1, 12, "DELETED")]), "older than what is known"


def test_an_entry_that_turns_bad_is_named_and_no_member():
    made = view(one(1, 10), one(2, 10))
    made.delta([one(1, 11, "MODIFIED", port=None)])
    assert list(made.read().bad) == ["n1"] and list(made.read().members) == ["n2"] and made.fits("UP_2_")
    made.delta([one(1, 12, "DELETED")])
    assert not made.read().bad and made.fits("UP_1_")


def test_starts_are_brought_to_this_clock():
    made = View("ledger", "a", offset_ns=7_000_000)
    made.add(one(1, 1, leaseInfo={"serviceUpTimestamp": 100}))
    made.add(one(2, 1, metadata={"startedAtMs": "50"}, leaseInfo={"serviceUpTimestamp": 100}))
    made.add(one(3, 1, leaseInfo={}))
    assert [m.started_ns for m in made.read().members.values()] == [107_000_000, 57_000_000, -1]


# --- the order of addresses, and leases -------------------------------------------------------------------


def test_addresses_in_order_with_quarantine_and_return():
    registries = Registries(("a", "b", "c"))
    now = 0
    assert registries.pick(now) == "a" and registries.pick(now, "a") == "b"
    registries.failed(now, "a", 0.5)
    assert registries.pick(now) == "b"
    assert registries.pick(FIRST_NS) == "a", "its return"
    for _ in range(10):
        registries.failed(now, "a", 1.0)
    assert registries.table(now)["a"] == LONGEST_NS * 1.25 / 1e9
    registries.failed(now, "b", 0.5)
    registries.failed(now, "c", 0.0)
    assert not registries.any_ready(now) and registries.pick(now) == "c"
    registries.answered("a")
    assert registries.pick(now) == "a" and registries.any_ready(now)
    assert Registries(("a",)).pick(0, "a") == ""


def test_a_lease_is_tied_to_health():
    lease = Lease(30.0)
    assert lease.next(Health.SILENT) is Act.NOTHING and lease.next(Health.BAD) is Act.NOTHING
    assert lease.pause_s() == 5.0
    assert lease.next(Health.GOOD) is Act.UP
    lease.done(Act.UP, 500)
    assert lease.next(Health.GOOD) is Act.UP
    lease.done(Act.UP, 204)
    assert lease.next(Health.GOOD) is Act.RENEW and lease.pause_s() == 30.0
    assert lease.next(Health.SILENT) is Act.NOTHING
    assert lease.next(Health.BAD) is Act.DOWN
    lease.done(Act.DOWN, 204)
    assert lease.next(Health.BAD) is Act.RENEW and lease.next(Health.GOOD) is Act.UP
    lease.done(Act.RENEW, 404)
    assert lease.next(Health.GOOD) is Act.UP
    stamps = [lease.stamp(act, 100) for act in (Act.UP, Act.RENEW, Act.DOWN, Act.UP)]
    assert stamps == [100, 100, 101, 102]
