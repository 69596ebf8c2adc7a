"""Eureka: instances, answers parsed in pieces, registry view with deltas and hash, address selection, leases."""

from __future__ import annotations

import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from covetally.membership.eureka import instance_parser
from covetally.membership.eureka.instance_parser import InvalidInstance, MetadataKeys
from covetally.membership.eureka.lease import Action, Health, Lease
from covetally.membership.eureka.answer_parser import MAX_VALUE_LENGTH, InvalidAnswer, JsonParser, XmlParser
from covetally.membership.eureka.address_selector import INITIAL_BACKOFF_NS, MAX_BACKOFF_NS, AddressSelector
from covetally.membership.eureka.registry_view import RegistryView
from covetally.membership.model import DOWN, LEAVING, STARTING, UP
from covetally.rig import eureka as registry_rig
from tests.membership.registry_harness import node

KEYS = MetadataKeys()


def read(**changes):
    return instance_parser.parse(node(1) | changes, KEYS)


def member(**changes):
    found = read(**changes)
    assert found.member is not None, found.reason
    return found.member


def test_states_and_overrides():
    words = {"UP": UP, "STARTING": STARTING, "DOWN": DOWN, "OUT_OF_SERVICE": LEAVING, "UNKNOWN": DOWN}
    for word, state in words.items():
        assert (member(status=word).state, member(status=word).source_state) == (state, word)
    assert member(overriddenstatus="OUT_OF_SERVICE").state == LEAVING
    assert member(overriddenstatus="", overriddenStatus="DOWN").state == DOWN
    assert member(status="STARTING", overriddenstatus="OUT_OF_SERVICE").state == STARTING
    assert member(overriddenstatus="UP").state == UP
    assert "status 'ODD'" in read(status="odd").reason


def test_metadata_is_read_by_the_configured_keys():
    metadata = {
        "zone": "a", "machineType": "m", "cell": "7", "weight": "0.5", "drain": "true", "startedAtMs": "12",
    }  # fmt: skip
    found = member(metadata=metadata)
    assert (found.zone, found.kind, found.cell, found.weight, found.boot) == ("a", "m", 7, 0.5, 12)
    assert (found.state, found.source_state) == (LEAVING, "drain")
    other = instance_parser.parse(node(1, metadata={"rack": "r", "zone": "a"}), MetadataKeys(zone="rack")).member
    assert other is not None and other.zone == "r"
    center = {"name": "Amazon", "metadata": {"availability-zone": "eu-1a"}}
    assert member(dataCenterInfo=center).zone == "eu-1a"
    for key, value in (("cell", "x"), ("cell", "-1"), ("weight", "nan"), ("weight", "1e99")):
        assert f"metadata {key}" in read(metadata={key: value}).reason
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
def test_unusable_instances_are_reported_with_a_reason(changes, why):
    found = read(**changes)
    assert found.member is None and why in found.reason and found.id == "n1"


def test_addresses_and_ports_are_parsed_in_all_forms():
    assert member(port={"$": "8080", "@enabled": "true"}).address == ("127.0.0.1", 8080)
    assert member(port=8080).address == ("127.0.0.1", 8080)
    assert member(port={"$": 8080, "@enabled": True}).address == ("127.0.0.1", 8080)
    assert member(ipAddr="2001:DB8::7").address[0] == "2001:db8::7"
    assert member(ipAddr="", hostName="10.0.0.7").address[0] == "10.0.0.7"


def test_an_instance_without_an_id_is_identified_by_its_host_or_rejected():
    assert read(instanceId=None).id == "127.0.0.1"
    with pytest.raises(InvalidInstance):
        read(instanceId="", hostName="x" * 300)


def test_instances_of_other_applications_are_parsed_only_for_the_hash():
    found = instance_parser.parse(node(1, port=None), KEYS, "", "OTHER")
    assert found.member is None and found.reason == "" and found.status == "UP"


# --- answers parsed in pieces ----------------------------------------------------------------------------


def parsed(text: str, size: int = 10_000_000, form=JsonParser):
    found = []
    reader = form(lambda app, raw: found.append((app, raw)))
    for at in range(0, len(text), size):
        reader.feed(text[at : at + size])
    reader.close()
    return found, reader.hash


RECORDS = [node(i) for i in range(5)] + [registry_rig.instance("ÜBRIGE", 'x"{[', "10.0.0.1", 1)]


@given(size=st.integers(1, 3000), count=st.integers(0, 6), single=st.booleans())
@settings(max_examples=60, deadline=None, derandomize=True)
def test_json_parsed_in_pieces_equals_the_library_s_result(size, count, single):
    records = RECORDS[6 - count :]
    text = registry_rig._json(records, "UP_1_", "all", single)
    found, hash_ = parsed(text, size)
    whole = json.loads(text)["applications"]["application"]
    apps = whole if isinstance(whole, list) else [whole]
    assert [raw for _, raw in found] == [
        raw for a in apps for raw in (a["instance"] if isinstance(a["instance"], list) else [a["instance"]])
    ]
    assert hash_ == "UP_1_"


def test_all_forms_of_an_answer_are_parsed():
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


def test_xml_is_converted_to_the_form_of_json():
    text = registry_rig._xml(RECORDS, "UP_6_", "all")
    for size in (1, 100, 100_000):
        found, hash_ = parsed(text, size, XmlParser)
        assert hash_ == "UP_6_" and [app for app, _ in found] == ["LEDGER"] * 5 + ["ÜBRIGE"]
        for (_, raw), record in zip(found, RECORDS, strict=True):
            there, here = instance_parser.parse(raw, KEYS), instance_parser.parse(record, KEYS)
            assert there == here and there.member == here.member
    assert parsed(registry_rig._xml([node(1)], "", "app"), 50, XmlParser)[0][0][0] == "LEDGER"


@pytest.mark.parametrize(
    "text",
    [
        "", "{", "[]", "null", '{"applications": 3}', '{"other": {}}', '{"applications": {}} x',
        '{"applications": {"application": [{"name": "A"}',
        '{"applications": {"application": [{"name": "A"} {"name": "B"}]}}',
        '{"applications": {"application": {"instance": 3}}}',
        '{1: 2}', '{"application": {"instance": [' + "[" * 5000,
        '{"applications": {"x": "' + "y" * (2 * MAX_VALUE_LENGTH) + '"',
    ],
)  # fmt: skip
def test_invalid_json_is_rejected(text):
    with pytest.raises(InvalidAnswer):
        parsed(text, 16384)


@pytest.mark.parametrize(
    "text",
    [
        "", "<applications>", "<other/>", "<applications></application>",
        '<!DOCTYPE a [<!ENTITY b "ccccc">]><applications>&b;</applications>',
        "<applications>" + "<a>" * 100, "<application><instance><a>" + "x" * (MAX_VALUE_LENGTH + 9),
    ],
)  # fmt: skip
def test_invalid_xml_is_rejected(text):
    with pytest.raises(InvalidAnswer):
        parsed(text, 16384, XmlParser)


def mutated(rng: random.Random, data: bytes) -> bytes:
    """Applies one to four changes: replaces, deletes, inserts or repeats bytes, or cuts off the rest."""
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
    """Parses mutated answers: raises only InvalidAnswer, and loses no instance that the library can decode."""
    rng, counts = random.Random(seed), {"whole": 0, "damaged": 0, "entries": 0}
    texts = {JsonParser: registry_rig._json(RECORDS, "UP_6_", "all", True).encode(),
             XmlParser: registry_rig._xml(RECORDS, "UP_6_", "all").encode()}  # fmt: skip
    for number in range(rounds):
        form = XmlParser if number % 4 == 0 else JsonParser
        text = mutated(rng, texts[form]).decode("utf-8", "replace")
        found = []

        def take(app, raw, found=found):
            try:
                found.append(instance_parser.parse(raw, KEYS, app))
            except InvalidInstance:
                counts["entries"] += 0

        reader = form(take)
        try:
            for at in range(0, len(text), 997):
                reader.feed(text[at : at + 997])
            reader.close()
            counts["whole"] += 1
        except InvalidAnswer:
            counts["damaged"] += 1
            continue
        finally:
            counts["entries"] += len(found)
        if form is JsonParser:
            document = json.loads(text)  # an accepted answer has to be complete
            readable = _instances(document)
            assert len([1 for raw in readable if _readable(raw)]) == len(found)
    return counts


def _instances(document) -> list:
    """The instances of a decoded answer, found independently of the parser."""

    def many(value):
        return value if isinstance(value, list) else [value] if value not in (None, "") else []

    if "instance" in document and "applications" not in document and "application" not in document:
        return [document["instance"]]
    apps = many(document["applications"].get("application")) if "applications" in document else []
    return [raw for app in apps for raw in many(app.get("instance"))]


def _readable(raw) -> bool:
    try:
        instance_parser.parse(raw if isinstance(raw, dict) else {}, KEYS)
    except InvalidInstance:
        return False
    return True


def test_mutated_answers_raise_only_invalid_answer_and_lose_no_instance():
    counts = fuzz(seed=20261201, rounds=1500)
    assert counts["damaged"] > 300 and counts["whole"] > 100 and counts["entries"] > 3000, counts


# --- the registry view -----------------------------------------------------------------------------------


def one(i: int, updated: int, action: str = "", **more):
    record = node(i, lastUpdatedTimestamp=str(updated), actionType=action, lastDirtyTimestamp="5")
    return instance_parser.parse(record | more, KEYS)


def view(*instances):
    registry_view = RegistryView("ledger", "a")
    for found in instances:
        registry_view.add(found)
    return registry_view


def test_deltas_add_change_and_remove_instances_and_update_the_hash():
    registry_view = view(one(1, 10), one(2, 10))
    before = registry_view.snapshot()
    assert (
        registry_view.hash() == "UP_2_"
        and registry_view.matches_hash("UP_2_")
        and registry_view.matches_hash(None)
        and not registry_view.matches_hash("UP_3_")
    )
    changes = [one(1, 11, "MODIFIED", status="OUT_OF_SERVICE"), one(2, 12, "DELETED"), one(3, 13, "ADDED")]
    assert registry_view.apply_delta(changes) and registry_view.matches_hash("OUT_OF_SERVICE_1_UP_1_")
    assert {m.id: m.state for m in registry_view.snapshot().members.values()} == {"n1": LEAVING, "n3": UP}
    assert sorted(before.members) == ["n1", "n2"], "an earlier snapshot does not change"
    revision = registry_view.revision
    assert not registry_view.apply_delta(changes) and registry_view.revision == revision, (
        "applying a delta twice changes nothing"
    )


def test_the_latest_change_in_a_delta_counts_in_any_order():
    changes = [one(1, 11, "MODIFIED", status="DOWN"), one(1, 12, "DELETED"), one(1, 13, "ADDED")]
    for order in (changes, changes[::-1]):
        registry_view = view(one(1, 10))
        registry_view.apply_delta(order)
        assert registry_view.snapshot().members["n1"].state == UP and registry_view.matches_hash("UP_1_")
    registry_view = view(one(1, 20))
    assert not registry_view.apply_delta([one(1, 12, "DELETED")]), "older than the known state"


def test_an_instance_that_becomes_invalid_is_reported_and_not_a_member():
    registry_view = view(one(1, 10), one(2, 10))
    registry_view.apply_delta([one(1, 11, "MODIFIED", port=None)])
    assert (
        list(registry_view.snapshot().invalid) == ["n1"]
        and list(registry_view.snapshot().members) == ["n2"]
        and registry_view.matches_hash("UP_2_")
    )
    registry_view.apply_delta([one(1, 12, "DELETED")])
    assert not registry_view.snapshot().invalid and registry_view.matches_hash("UP_1_")


def test_start_times_are_converted_to_the_sidecar_clock():
    registry_view = RegistryView("ledger", "a", clock_offset_ns=7_000_000)
    registry_view.add(one(1, 1, leaseInfo={"serviceUpTimestamp": 100}))
    registry_view.add(one(2, 1, metadata={"startedAtMs": "50"}, leaseInfo={"serviceUpTimestamp": 100}))
    registry_view.add(one(3, 1, leaseInfo={}))
    assert [m.started_ns for m in registry_view.snapshot().members.values()] == [107_000_000, 57_000_000, -1]


# --- address selection and leases -------------------------------------------------------------------------


def test_addresses_are_selected_in_order_with_backoff():
    selector = AddressSelector(("a", "b", "c"))
    now = 0
    assert selector.select(now) == "a" and selector.select(now, "a") == "b"
    selector.record_failure(now, "a", 0.5)
    assert selector.select(now) == "b"
    assert selector.select(INITIAL_BACKOFF_NS) == "a", "selected again after its backoff"
    for _ in range(10):
        selector.record_failure(now, "a", 1.0)
    assert selector.table(now)["a"] == MAX_BACKOFF_NS * 1.25 / 1e9
    selector.record_failure(now, "b", 0.5)
    selector.record_failure(now, "c", 0.0)
    assert not selector.has_available(now) and selector.select(now) == "c"
    selector.record_answer("a")
    assert selector.select(now) == "a" and selector.has_available(now)
    assert AddressSelector(("a",)).select(0, "a") == ""


def test_a_lease_follows_the_health_of_the_instance():
    lease = Lease(30.0)
    assert (
        lease.next_action(Health.UNRESPONSIVE) is Action.NOTHING
        and lease.next_action(Health.UNHEALTHY) is Action.NOTHING
    )
    assert lease.pause_s() == 5.0
    assert lease.next_action(Health.HEALTHY) is Action.UP
    lease.record_response(Action.UP, 500)
    assert lease.next_action(Health.HEALTHY) is Action.UP
    lease.record_response(Action.UP, 204)
    assert lease.next_action(Health.HEALTHY) is Action.RENEW and lease.pause_s() == 30.0
    assert lease.next_action(Health.UNRESPONSIVE) is Action.NOTHING
    assert lease.next_action(Health.UNHEALTHY) is Action.DOWN
    lease.record_response(Action.DOWN, 204)
    assert lease.next_action(Health.UNHEALTHY) is Action.RENEW and lease.next_action(Health.HEALTHY) is Action.UP
    lease.record_response(Action.RENEW, 404)
    assert lease.next_action(Health.HEALTHY) is Action.UP
    stamps = [lease.dirty_timestamp(action, 100) for action in (Action.UP, Action.RENEW, Action.DOWN, Action.UP)]
    assert stamps == [100, 100, 101, 102]
