"""A Eureka registry from its public REST operations: registration, leases, eviction, deltas, peers, and faults.

    python -m covetally.rig.eureka SPEC      # SPEC is JSON, see `Spec`; rows out, commands in (see child.py)

Each instance (a sidecar) has a port of its own at each peer, so that the account knows what was told to whom,
and when: the row ["told", instance, at, [[node, lifecycle, startedAtMs], ...]] is written with each honest answer
that says something new. Row first: ["up", {instance: [port of peer 0, port of peer 1, ...]}].

Commands: {"register": {...}, "peer"}, {"mark": [app, id, status], "peer"}, {"unmark": [app, id]},
{"cancel": [app, [ids]]}, {"fault": {...}, "peer"}, {"restart": seconds to fill anew, "peer"}, {"snapshot": peer},
{"restore": peer}, {"fill": count}, {"lag": s}. Without "peer" a change reaches all of them, after their lag.
"""

from __future__ import annotations

import asyncio
import copy
import gzip
import json
import sys
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from email.utils import formatdate
from typing import Any
from urllib.parse import parse_qs, unquote
from xml.sax.saxutils import escape, quoteattr

from covetally.rig.child import Row, emit, obey
from covetally.rig.wire import Message, Wire, answer

Record = dict[str, Any]
RECENT_S = 180.0  # for so long a change is in the delta
LIFECYCLE = {"UP": "active"}  # any other status wants nothing new


@dataclass(slots=True)
class Spec:
    """A registry. `cache_s` is how long an answer may be old (30 in Netflix's), `preserve` the share of expected
    renewals below which no lease is evicted (0.85 in Netflix's; 0 switches that off)."""

    instances: list[str]
    peers: int = 1
    lag_s: float = 0.0
    cache_s: float = 0.0
    evict_s: float = 60.0
    preserve: float = 0.0
    app: str = "LEDGER"  # the application whose instances are the nodes of the account
    single_object: bool = True  # a list of one is written as that one
    user: str = ""  # USER:PASSWORD that calls have to come with


@dataclass(slots=True)
class Fault:
    """What a peer does wrong from now on. `reads` counts down where it is above 0; -1 is for good."""

    reads: int = -1
    empty: bool = False
    lack: list[str] = field(default_factory=list)  # ids that are missing
    only: list[str] | None = None  # ids that are there
    truncate: float = 0.0  # the share of the body that comes, then the connection's end
    hash: str = ""  # told in place of the true one
    status: int = 0
    silent: bool = False
    slow: float = 0.0  # bytes a second
    delta: str = ""  # lost, twice, reversed, or off: answered 403
    redirect: str = ""  # Location
    junk: list[Record] = field(default_factory=list)  # entries beside the good ones
    body: str = ""  # in place of any


class Peer:
    """One registry server: what it holds, and the changes of late."""

    def __init__(self, spec: Spec) -> None:
        self.spec = spec
        self.records: dict[tuple[str, str], Record] = {}
        self.overrides: dict[tuple[str, str], str] = {}
        self.renewed: dict[tuple[str, str], float] = {}
        self.recent: deque[tuple[float, Record]] = deque()
        self.renewals: deque[float] = deque()
        self.fault: Fault | None = None
        self.saved: Any = None
        self.born = time.monotonic()
        self.version = 0
        self._bodies: dict[tuple[str, ...], tuple[int, bytes, bytes]] = {}
        self.states: tuple[int, dict[str, tuple[str, int]]] = (-1, {})
        self.filling = 0  # records that it held before it started anew, and that have not come back yet
        self._cache: dict[str, tuple[float, Any]] = {}

    # --- what the REST operations do ----------------------------------------------------------------

    def register(self, record: Record) -> None:
        """POST /apps/APP."""
        key = (record["app"], record["instanceId"])
        now_ms = time.time_ns() // 1_000_000
        before = self.records.get(key)
        lease = dict(record.get("leaseInfo") or {})
        lease.setdefault("renewalIntervalInSecs", 30)
        lease.setdefault("durationInSecs", 90)
        up = before["leaseInfo"].get("serviceUpTimestamp", 0) if before else 0
        if record.get("status", "UP") == "UP" and not up:
            up = now_ms
        lease |= {
            "registrationTimestamp": now_ms, "lastRenewalTimestamp": now_ms, "evictionTimestamp": 0,
            "serviceUpTimestamp": up,
        }  # fmt: skip
        override = self.overrides.get(key, "UNKNOWN")
        record = copy.deepcopy(record) | {"leaseInfo": lease, "overriddenstatus": override}
        record.setdefault("status", "UP")
        record.setdefault("lastDirtyTimestamp", str(now_ms))
        if override != "UNKNOWN":
            record["status"] = override
        self.records[key] = record
        self.renewed[key] = time.monotonic()
        self._changed(record, "MODIFIED" if before else "ADDED")

    def renew(self, key: tuple[str, str], query: dict[str, list[str]]) -> int:
        """PUT /apps/APP/ID."""
        record = self.records.get(key)
        if record is None:
            return 404
        dirty = query.get("lastDirtyTimestamp", ["0"])[0]
        if dirty.isdigit() and int(dirty) > int(record["lastDirtyTimestamp"]):
            return 404  # what is known of it is old: it has to register anew
        self.renewed[key] = time.monotonic()
        self.renewals.append(self.renewed[key])
        record["leaseInfo"]["lastRenewalTimestamp"] = time.time_ns() // 1_000_000
        return 200

    def mark(self, key: tuple[str, str], status: str) -> int:
        """PUT /apps/APP/ID/status."""
        record = self.records.get(key)
        if record is None:
            return 404
        self.overrides[key] = status
        self._change(key, status=status, overriddenstatus=status)
        return 200

    def unmark(self, key: tuple[str, str], status: str = "UP") -> int:
        """DELETE /apps/APP/ID/status."""
        if key not in self.records:
            return 404
        self.overrides.pop(key, None)
        self._change(key, status=status, overriddenstatus="UNKNOWN")
        return 200

    def cancel(self, key: tuple[str, str]) -> int:
        """DELETE /apps/APP/ID."""
        record = self.records.pop(key, None)
        if record is None:
            return 404
        self.overrides.pop(key, None)
        self.renewed.pop(key, None)
        self._changed(record, "DELETED")
        return 200

    def metadata(self, key: tuple[str, str], values: dict[str, str]) -> int:
        """PUT /apps/APP/ID/metadata."""
        if key not in self.records:
            return 404
        self._change(key, metadata=dict(self.records[key].get("metadata") or {}) | values)
        return 200

    def evict(self) -> None:
        """Drop leases that ran out, unless so many renewals lack that the network is the likelier cause."""
        now = time.monotonic()
        while self.renewals and now - self.renewals[0] > 60.0:
            self.renewals.popleft()
        expected = sum(60.0 / r["leaseInfo"]["renewalIntervalInSecs"] for r in self.records.values())
        if self.spec.preserve and now - self.born > 60 and len(self.renewals) < self.spec.preserve * expected:
            return
        for key, at in list(self.renewed.items()):
            record = self.records[key]
            if record.get("_eternal"):
                continue
            if now - at > record["leaseInfo"]["durationInSecs"]:
                self.cancel(key)

    def _change(self, key: tuple[str, str], **values: Any) -> None:
        self.records[key] = self.records[key] | values
        self._changed(self.records[key], "MODIFIED")

    def _changed(self, record: Record, action: str) -> None:
        self.version += 1
        record["actionType"] = action
        stamp = time.time_ns() // 1_000_000
        if str(stamp) <= record.get("lastUpdatedTimestamp", "0"):
            stamp = int(record["lastUpdatedTimestamp"]) + 1
        record["lastUpdatedTimestamp"] = str(stamp)
        self.recent.append((time.monotonic(), copy.deepcopy(record)))

    # --- what it lists --------------------------------------------------------------------------------

    def listing(self, what: str, name: str) -> tuple[list[Record], str]:
        """Records and hash for a GET, as old as the response cache lets them be."""
        if not self.spec.cache_s:
            return self._select(what, name), self.hash()
        key = f"{what}/{name}"
        at, found = self._cache.get(key, (0.0, None))
        now = time.monotonic()
        if found is None or now - at >= self.spec.cache_s:
            found = (copy.deepcopy(self._select(what, name)), self.hash())
            self._cache[key] = (now, found)
        return found

    def body(self, key: tuple[str, ...], make: Callable[[], str]) -> tuple[bytes, bytes]:
        """An answer as it is and zipped, made once for as long as nothing changes."""
        version, *made = self._bodies.get(key, (-1, b"", b""))
        if version != self.version or self.spec.cache_s:
            plain = make().encode()
            made = [plain, gzip.compress(plain, 1)]
            self._bodies[key] = (self.version, *made)
        return made[0], made[1]

    def _select(self, what: str, name: str) -> list[Record]:
        if what == "delta":
            while self.recent and time.monotonic() - self.recent[0][0] > RECENT_S:
                self.recent.popleft()
            return [record for _, record in self.recent]
        if what == "app":
            return [r for r in self.records.values() if r["app"] == name.upper()]
        if what == "vip":
            return [r for r in self.records.values() if name in str(r.get("vipAddress", "")).split(",")]
        return list(self.records.values())

    def hash(self) -> str:
        """apps__hashcode."""
        counts = Counter(record["status"] for record in self.records.values())
        return "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))

    def forget(self) -> dict[tuple[str, str], Record]:
        """Its process starts anew; what it held."""
        held = self.records
        self.version += 1
        self.records, self.overrides, self.renewed = {}, {}, {}
        self.recent.clear()
        self._cache.clear()
        self.born = time.monotonic()
        return held


class Registry:
    """The peers and whoever asks them; `tell` gets the rows."""

    def __init__(self, spec: Spec, tell: Callable[[Row], None]) -> None:
        self.spec = spec
        self._tell = tell
        self.peers = [Peer(spec) for _ in range(spec.peers)]
        self._told: dict[str, dict[str, tuple[str, int]]] = {}
        self._servers: list[asyncio.Server] = []
        self._evicting: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.calls: Counter[str] = Counter()
        self.bytes = 0

    async def start(self) -> dict[str, list[int]]:
        """Listen; the ports of each instance, one for each peer."""
        loop = asyncio.get_running_loop()
        ports: dict[str, list[int]] = {}
        for name in self.spec.instances:
            ports[name] = []
            for number in range(len(self.peers)):

                def connected(name: str = name, number: int = number) -> Wire:
                    return Wire(lambda wire, message: self._asked(wire, message, name, number), _ended)

                server = await loop.create_server(connected, "127.0.0.1", 0, backlog=1024)
                self._servers.append(server)
                ports[name].append(server.sockets[0].getsockname()[1])
        self._evicting = asyncio.create_task(self._evict())
        return ports

    def stop(self) -> None:
        """Listen no more."""
        for server in self._servers:
            server.close()
        if self._evicting is not None:
            self._evicting.cancel()

    async def _evict(self) -> None:
        while True:
            await asyncio.sleep(self.spec.evict_s)
            for peer in self.peers:
                peer.evict()

    # --- changes ---------------------------------------------------------------------------------------

    def change(self, act: Callable[[Peer], Any], at: int | None = None, alone: bool = False) -> Any:
        """Let one peer, the first by default, do something, and the others after their lag."""
        first = self.peers[at or 0]
        result = act(first)
        if not alone:
            loop = asyncio.get_running_loop()
            for peer in self.peers:
                if peer is first:
                    continue
                if self.spec.lag_s:
                    loop.call_later(self.spec.lag_s, act, peer)
                else:
                    act(peer)
        return result

    def restart(self, number: int, fill_s: float) -> None:
        """A peer starts anew with nothing; what it held comes back evenly over so many seconds, 0: never."""
        held = list(self.peers[number].forget().values())
        loop = asyncio.get_running_loop()
        for i, record in enumerate(held):
            if fill_s:
                loop.call_later(fill_s * (i + 1) / len(held), self._refill, self.peers[number], record)
                self.peers[number].filling += 1

    @staticmethod
    def _refill(peer: Peer, record: Record) -> None:
        peer.filling -= 1
        peer.register(record)

    def fill(self, count: int) -> None:
        """So many instances of other applications, as large as real ones."""
        for i in range(count):
            record = instance(f"OTHER-{i % 50}", f"other-{i}", "127.0.0.1", 20_000 + i % 10_000)
            for peer in self.peers:
                peer.register(record | {"_eternal": True})

    # --- answers ---------------------------------------------------------------------------------------

    def _asked(self, wire: Wire, message: Message, name: str, number: int) -> None:
        method, target = (word.decode("latin-1") for word in message.first[:2])
        path, _, query = target.partition("?")
        parts = [unquote(part) for part in path.split("/") if part]
        if parts[:1] == ["eureka"]:
            parts = parts[2:] if parts[1:2] == ["v2"] else parts[1:]
        peer = self.peers[number]
        self.calls[method] += 1
        if self.spec.user and message.header(b"authorization") != _basic(self.spec.user):
            wire.write(answer(401))
            return
        if method == "GET":
            self._listed(wire, message, name, peer, parts)
            return
        wire.write(answer(self._changed_by(method, message, number, parts, parse_qs(query))))

    def _changed_by(
        self, method: str, message: Message, number: int, parts: list[str], query: dict[str, list[str]]
    ) -> int:
        if parts[:1] != ["apps"] or len(parts) < 2:
            return 404
        if method == "POST" and len(parts) == 2:
            try:
                record = json.loads(message.body)["instance"]
                record["app"] = record["app"].upper()
                record.setdefault("instanceId", record["hostName"])
            except (ValueError, KeyError, TypeError, AttributeError):
                return 400
            self.change(lambda peer: peer.register(record), number)
            return 204
        if len(parts) < 3:
            return 405
        key = (parts[1].upper(), parts[2])
        match method, parts[3:]:
            case "PUT", []:
                return self.change(lambda peer: peer.renew(key, query), number)
            case "PUT", ["status"]:
                return self.change(lambda peer: peer.mark(key, query["value"][0]), number)
            case "DELETE", ["status"]:
                return self.change(lambda peer: peer.unmark(key, query.get("value", ["UP"])[0]), number)
            case "PUT", ["metadata"]:
                return self.change(lambda peer: peer.metadata(key, {k: v[0] for k, v in query.items()}), number)
            case "DELETE", []:
                return self.change(lambda peer: peer.cancel(key), number)
        return 405

    def _listed(self, wire: Wire, message: Message, name: str, peer: Peer, parts: list[str]) -> None:
        fault = peer.fault or Fault(reads=0)
        if fault.reads > 0:
            fault.reads -= 1
            if not fault.reads:
                peer.fault = None
        if fault.silent:
            return
        if fault.status:
            wire.write(answer(fault.status))
            return
        if fault.redirect:
            wire.write(answer(302, headers={"Location": fault.redirect}))
            return
        match parts:
            case ["apps"]:
                what, which = "all", ""
            case ["apps", "delta"]:
                what, which = "delta", ""
            case ["apps", app]:
                what, which = "app", app
            case ["vips" | "svips", vip]:
                what, which = "vip", vip
            case ["apps", app, one] | ["instances", app, one]:
                what, which = "one", f"{app}/{one}"
            case _:
                wire.write(answer(404))
                return
        self.calls[what] += 1
        if what == "delta" and fault.delta == "off":
            wire.write(answer(403))
            return
        if what == "one":
            app, _, one = which.partition("/")
            record = peer.records.get((app.upper(), one))
            body = json.dumps({"instance": record}).encode() if record else b""
            wire.write(answer(200 if record else 404, body, {"Content-Type": "application/json"}))
            return
        records, hash_ = peer.listing(what, which)
        self._book(name, peer, records, what, fault)
        records, hash_ = _spoilt(records, hash_, fault, what)
        if what == "app" and not records:
            wire.write(answer(404))
            return
        self._write(wire, message, peer, records, hash_, what, which, fault)

    def _book(self, name: str, peer: Peer, records: list[Record], what: str, fault: Fault) -> None:
        """Tell the account what an honest answer says: of a delta, what all of it adds up to."""
        lies = fault.empty or fault.lack or fault.only is not None or fault.truncate or fault.body or fault.hash
        if lies or fault.delta or fault.slow:
            return
        now = self._states(peer, peer.records.values() if what == "delta" else records)
        before = self._told.get(name, {})
        rows = [[node, *state] for node, state in now.items() if before.get(node) != state]
        if peer.filling:  # what it lacks it has not dropped
            now = before | now
        rows += [[node, "left", 0] for node in before if node not in now]
        self._told[name] = now
        if rows:
            self._tell(["told", name, time.monotonic_ns(), rows])

    def _states(self, peer: Peer, listed: Any) -> dict[str, tuple[str, int]]:
        if peer.states[0] != peer.version or self.spec.cache_s:
            now = {
                r["instanceId"]: (LIFECYCLE.get(r["status"], "leaving"), int(r["metadata"].get("startedAtMs", 0)))
                for r in listed
                if r["app"] == self.spec.app
            }
            peer.states = (peer.version, now)
        return peer.states[1]

    def _write(
        self, wire: Wire, message: Message, peer: Peer, records: list[Record], hash_: str, what: str, which: str,
        fault: Fault,
    ) -> None:  # fmt: skip
        as_json = "json" in message.header(b"accept")  # as Netflix's server has it: XML for who says nothing
        single = self.spec.single_object

        def make() -> str:
            return _json(records, hash_, what, single) if as_json else _xml(records, hash_, what)

        zipped = "gzip" in message.header(b"accept-encoding")
        if fault == Fault(reads=fault.reads):
            body = peer.body((what, which, "json" if as_json else "xml"), make)[zipped]
        else:
            plain = (fault.body or make()).encode("utf-8", "surrogateescape")
            body = gzip.compress(plain, 1) if zipped else plain
        headers = {"Content-Type": f"application/{'json' if as_json else 'xml'}", "Date": formatdate(usegmt=True)}
        if zipped:
            headers["Content-Encoding"] = "gzip"
        data = answer(200, body, headers)
        self.bytes += len(data)
        if fault.truncate:
            wire.write(data[: int(len(data) * fault.truncate)])
            wire.close()
        elif fault.slow:
            task = asyncio.create_task(_slowly(wire, data, fault.slow))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            wire.write(data)


def _ended(wire: Wire, error: Exception | None) -> None:
    pass


async def _slowly(wire: Wire, data: bytes, per_s: float) -> None:
    step = max(1, int(per_s / 20))
    for at in range(0, len(data), step):
        wire.write(data[at : at + step])
        await asyncio.sleep(0.05)


def _basic(user: str) -> str:
    import base64

    return "Basic " + base64.b64encode(user.encode()).decode()


def _spoilt(records: list[Record], hash_: str, fault: Fault, what: str) -> tuple[list[Record], str]:
    if fault.empty:
        records, hash_ = [], ""
    if fault.lack or fault.only is not None:
        there = [r for r in records if r["instanceId"] not in fault.lack]
        if fault.only is not None:
            there = [r for r in there if r["instanceId"] in fault.only]
        records = there
        counts = Counter(record["status"] for record in records)
        hash_ = "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))
    if what == "delta":
        match fault.delta:
            case "lost":
                records = []
            case "twice":
                records = records + records
            case "reversed":
                records = records[::-1]
    return records + fault.junk, fault.hash or hash_


def instance(app: str, name: str, host: str, port: int, **more: Any) -> Record:
    """A record as Eureka's Java client registers it."""
    return {
        "instanceId": name, "hostName": host, "app": app, "ipAddr": host, "status": "UP",
        "overriddenstatus": "UNKNOWN", "port": {"$": port, "@enabled": "true"},
        "securePort": {"$": 443, "@enabled": "false"}, "countryId": 1,
        "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
        "leaseInfo": {"renewalIntervalInSecs": 30, "durationInSecs": 90}, "metadata": {},
        "homePageUrl": f"http://{host}:{port}/", "statusPageUrl": f"http://{host}:{port}/info",
        "healthCheckUrl": f"http://{host}:{port}/health", "vipAddress": app.lower(),
        "secureVipAddress": app.lower(), "isCoordinatingDiscoveryServer": "false",
        "lastDirtyTimestamp": str(time.time_ns() // 1_000_000),
    } | more  # fmt: skip


def _grouped(records: list[Record]) -> dict[str, list[Record]]:
    apps: dict[str, list[Record]] = {}
    for record in records:
        apps.setdefault(record.get("app", ""), []).append({k: v for k, v in record.items() if k[0] != "_"})
    return apps


def _json(records: list[Record], hash_: str, what: str, single: bool) -> str:
    """Eureka's JSON, in its style of a list of one being that one."""

    def some(items: list[Any]) -> Any:
        return items[0] if single and len(items) == 1 else items

    apps = [{"name": app, "instance": some(found)} for app, found in _grouped(records).items()]
    if what == "app":
        return json.dumps({"application": apps[0] if apps else {"name": "", "instance": []}})
    whole = {"versions__delta": "1", "apps__hashcode": hash_, "application": some(apps)}
    return json.dumps({"applications": whole})


def _xml(records: list[Record], hash_: str, what: str) -> str:
    def element(name: str, value: Any) -> str:
        if isinstance(value, dict):
            attributes = "".join(f" {k[1:]}={quoteattr(str(v))}" for k, v in value.items() if k.startswith("@"))
            inner = "".join(element(k, v) for k, v in value.items() if k[0] not in "@$")
            return f"<{name}{attributes}>{inner}{escape(str(value.get('$', '')))}</{name}>"
        return f"<{name}>{escape(str(value))}</{name}>"

    apps = "".join(
        f"<application><name>{escape(app)}</name>"
        + "".join(element("instance", record) for record in found)
        + "</application>"
        for app, found in _grouped(records).items()
    )
    if what == "app":
        return apps
    head = f"<versions__delta>1</versions__delta><apps__hashcode>{hash_}</apps__hashcode>"
    return f"<applications>{head}{apps}</applications>"


async def _main(spec: dict[str, Any]) -> None:
    registry = Registry(Spec(**spec), emit)
    emit(["up", await registry.start()])

    def command(words: dict[str, Any]) -> None:
        obeyed(registry, words)
        if "count" in words:
            emit(["counts", dict(registry.calls), registry.bytes])

    await obey(command)


def obeyed(registry: Registry, words: dict[str, Any]) -> None:
    """Carry out one command."""
    at = words.get("peer")
    alone = words.get("alone", False)
    if "register" in words:
        record = words["register"] | {"_eternal": True}
        registry.change(lambda peer: peer.register(record), at, alone)
    if "mark" in words:
        app, name, status = words["mark"]
        registry.change(lambda peer: peer.mark((app, name), status), at, alone)
    if "unmark" in words:
        app, name = words["unmark"]
        registry.change(lambda peer: peer.unmark((app, name)), at, alone)
    if "cancel" in words:
        app, names = words["cancel"]
        for name in names:
            registry.change(lambda peer, name=name: peer.cancel((app, name)), at, alone)
    if "fault" in words:
        for number in range(len(registry.peers)) if at is None else [at]:
            fault = words["fault"]
            registry.peers[number].fault = Fault(**fault) if fault else None
    if "restart" in words:
        registry.restart(at or 0, words["restart"])
    if "snapshot" in words:
        peer = registry.peers[words["snapshot"]]
        peer.saved = copy.deepcopy((peer.records, peer.overrides, peer.renewed))
    if "restore" in words:
        peer = registry.peers[words["restore"]]
        peer.forget()
        peer.records, peer.overrides, peer.renewed = copy.deepcopy(peer.saved)
    if "fill" in words:
        registry.fill(words["fill"])
    if "lag" in words:
        registry.spec.lag_s = words["lag"]


if __name__ == "__main__":
    asyncio.run(_main(json.loads(sys.argv[1])))
