"""Drain orders carried out by the agent: who is out, permits, the order under way. What is decided is in
`covetally/drainplan`; here it is written down, then told, and matched with what is seen.

    step                                        if the agent dies right after it
    ----                                        --------------------------------
    permits and order are written, in one       nobody was told; who still serves in the process of then is told,
    commit, with the process that each has      and counts as out until it is seen in another one
    a holder is told, and that is noted         the same: it may have been noted before the supervisor had done it
    it is seen out, or in another process       as if that had been noted
    a holder is seen back, its permit ends      it is seen again

A new agent listens first: nothing is told before LISTENS_S have passed, and it acts in an epoch above all that
the store and the sidecars know. A sidecar refuses what is of a lower epoch than it has heard of.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from covetally.drainplan import FleetState, Floors, Kind, Unit, UnitState, plan
from covetally.drainplan.errors import PermitError, UnitsError
from covetally.drainplan.permits import Permits, Stage, next_epoch
from covetally.drainplan.run import DrainRun, Phase
from covetally.fleet.registry import Instance
from covetally.fleet.steady_clock import SteadyClock
from covetally.fleet.store import CannotKeepError, Store

log = logging.getLogger(__name__)

LISTENS_S = 3.0
LOOK_S = 0.2
LINE_S = 1.0  # between two looks at the overload line
LINE_ASKED = 5  # sidecars asked for it
FRESH_S = 1.0  # all have been asked whether they are there so shortly before permits are given
KEPT = "drains"


class Hands(Protocol):
    """What the agent does for it."""

    instances: dict[str, Instance]

    async def step(self, name: str, what: str, epoch: int) -> str:
        """Tell an instance to restart or to drain; empty, or why it does not."""

    async def silent(self, names: list[str]) -> set[str]:
        """Which of these do not answer, though their links are up."""

    async def rungs(self, names: list[str]) -> list[int]:
        """Where the overload line stands at these, as far as they answer and have one."""


@dataclass(frozen=True, slots=True)
class Wanted:
    """An order as operators ask for it. Floors: by zone name, "all" for the fleet, in units of capacity or, with
    `shares`, in parts of what is there."""

    names: tuple[str, ...]
    what: str = "restart"  # or drain: they stay out until they are resumed
    floors: tuple[tuple[str, float, bool], ...] = ()  # zone or all, figure, whether it is a share
    after_loss: float = 0.0
    drain_s: float = 5.0
    return_s: float = 10.0
    warm_s: float = 0.0


def account_of(instances: Iterable[Instance], wanted: Wanted) -> FleetState:
    """The sidecars that are known, with the floors wanted; UnitsError where they mean nothing."""
    units: dict[str, Unit] = {}
    for instance in instances:
        text = instance.labels.get("capacity", "1")
        try:
            capacity = float(text)
        except ValueError:
            raise UnitsError(f"{instance.name} has the label capacity = {text!r}, which is no number") from None
        units[instance.name] = Unit(
            instance.name, instance.labels.get("zone", ""), Kind.SIDECAR, capacity, "",
            wanted.drain_s, wanted.return_s, wanted.warm_s,
        )  # fmt: skip
    zones = {unit.zone for unit in units.values()}
    there = {zone: sum(unit.capacity for unit in units.values() if unit.zone == zone) for zone in zones}
    by_zone: dict[tuple[Kind, str], float] = {}
    fleet: dict[Kind, float] = {}
    for where, figure, share in wanted.floors:
        if where == "all":
            fleet[Kind.SIDECAR] = figure * sum(there.values()) if share else figure
        elif where == "each":
            by_zone |= {(Kind.SIDECAR, zone): figure * there[zone] if share else figure for zone in zones}
        elif where in zones:
            by_zone[Kind.SIDECAR, where] = figure * there[where] if share else figure
        else:
            raise UnitsError(f"no zone {where!r}: there are {', '.join(sorted(zones))}")
    after = {Kind.SIDECAR: wanted.after_loss} if wanted.after_loss else {}
    return FleetState(units, Floors(by_zone, fleet, after))


class Drains:
    """One order at a time."""

    def __init__(self, store: Store, hands: Hands, write: Callable[..., None], clock: SteadyClock) -> None:
        self._store, self._hands, self._write, self._clock = store, hands, write, clock
        kept = json.loads(store.get(KEPT) or "{}")
        self.run = DrainRun.from_json(kept["run"]) if kept.get("run") else None
        self.wanted = _wanted(kept["wanted"]) if kept.get("wanted") else Wanted(())
        self._boots: dict[str, str] = kept.get("boots", {})
        known = int(kept.get("epoch", 0))
        self.permits = Permits(known, kept.get("permits", ""))
        self.account = FleetState({}, Floors())
        self._listens_until = 0.0
        self._acts = False  # in an epoch of its own
        self._line_up = False
        self._line_at = 0.0
        self._told: set[int] = set()  # permits whose holders were told in this life of the agent
        self._dumb: dict[str, float] = {}  # did not answer when they were asked, and when that was
        self._asked_at = float("-inf")
        self._asking = False
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._kept: tuple[Any, ...] = ()  # what changes, as it was last written

    # --- what operators do ----------------------------------------------------------------------

    def preview(self, wanted: Wanted) -> dict[str, Any]:
        """The order's arithmetic, and nothing begun."""
        account = self._seen(account_of(self._hands.instances.values(), wanted), self._clock.now())
        order = plan(account, wanted.names, self._clock.now())
        return {
            "waves": [{"units": list(wave.units), "seconds": wave.seconds} for wave in order.waves],
            "seconds": order.seconds, "bound_s": order.bound_s, "text": order.describe(),
        }  # fmt: skip

    def start(self, wanted: Wanted, who: str, why: str) -> dict[str, Any]:
        """Begin an order: durable before it is answered. PermitError while another one is under way."""
        if self.run is not None and self.run.phase is not Phase.DONE:
            raise PermitError(
                f"order {self.run.number} by {self.run.who} is {self.run.phase.value}",
                "Wait until it is done, or end it with `cindersail drain back`.",
            )
        self.preview(wanted)
        number = (self.run.number if self.run else 0) + 1
        before = self.wanted, self.run, self.account
        self.wanted, self.run = wanted, DrainRun(number, who, why, list(wanted.names))
        self.account = account_of(self._hands.instances.values(), wanted)
        try:
            self._save()
        except CannotKeepError:
            self.wanted, self.run, self.account = before
            raise
        names = list(wanted.names)[:1000]
        self._write(who, "drain start", order=number, how=wanted.what, instances=names, reason=why)
        self._arm()
        return self.table()

    def steer(self, who: str, what: str, why: str) -> dict[str, Any]:
        """halt, resume or back; durable before it is answered."""
        run = self.run
        if run is None or run.phase is Phase.DONE:
            raise PermitError("no order is under way", "Begin one with `cindersail drain start`.")
        if what == "halt":
            run.halt(f"halted by {who}" + (f": {why}" if why else ""))
        elif what == "resume":
            run.resume()
        else:
            run.cancel(f"taken back by {who}" + (f": {why}" if why else ""))
        if what != "resume":
            for permit in self.permits.open:
                if permit.number not in self._told:
                    self.permits.revoke(self._clock.now(), self.account, permit.unit, f"{what} by {who}")
        self._save()
        self._write(who, f"drain {what}", order=run.number, reason=why)
        self._arm()
        return self.table()

    def write_off(self, who: str, unit: str) -> dict[str, Any]:
        """An operator's word that a unit does not come back."""
        permit = self.permits.write_off(unit, who)
        self._save()
        self._write(who, "drain write-off", instance=unit)
        self._arm()
        return permit.as_dict()

    def table(self) -> dict[str, Any]:
        """The order, its permits, and who is out."""
        account = self._current(self._clock.now())
        out = [
            {"unit": name, "zone": unit.zone, "state": entry.state.value, "since": entry.since,
             "cause": entry.cause, "planned": entry.planned}
            for name, unit in account.units.items()
            if (entry := account.status_of(name)).state is not UnitState.IN_SERVICE
        ]  # fmt: skip
        return {
            "order": self.run.summary() if self.run is not None else None, "epoch": self.permits.epoch,
            "permits": [permit.as_dict() for permit in self.permits.open], "out": out,
            "capacity": {zone: round(left, 3) for (_, zone), left in account.capacity(self._clock.now()).items()},
            "floors": {zone: floor for (_, zone), floor in account.floors.zones.items()},
            "now": self._clock.now(), "listens_s": round(max(0.0, self._listens_until - time.monotonic()), 1),
        }  # fmt: skip

    # --- the order goes on ----------------------------------------------------------------------

    def open(self) -> None:
        """Go on from the store; in the running loop."""
        self._listens_until = time.monotonic() + LISTENS_S
        if self.run is not None and self.run.phase is not Phase.DONE:
            self._arm()

    def close(self) -> None:
        """No more."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def hello(self, epoch: int) -> None:
        """A sidecar knows of this epoch."""
        self.permits.observe_epoch(epoch)

    def _arm(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(LOOK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        run = self.run
        if run is None or (run.phase is Phase.DONE and not self.permits.open):
            return
        self._arm()
        now = self._clock.now()
        account = self._current(now)
        self.permits.reconcile(account)
        try:
            if time.monotonic() >= self._listens_until:
                self._act(now, run, account)
            self._save_changes()
        except CannotKeepError as error:  # nothing is told that is not on disk; the next look writes it
            log.warning("%s", error.line())
            return
        self._tell()
        if time.monotonic() - self._line_at >= LINE_S:
            self._line_at = time.monotonic()
            self._spawn(self._look_at_line())

    def _act(self, now: float, run: DrainRun, account: FleetState) -> None:
        if not self._acts:
            self.permits.epoch = next_epoch((self.permits.epoch, self.permits.highest_epoch))
            self.permits.highest_epoch = self.permits.epoch
            self._save()
            self._acts = True
        units = run.next_wave(now, account, self.permits, self._line_up)
        if (units or self._dumb) and not self._fresh():
            return
        for unit in units:
            try:
                self.permits.issue(now, account, unit, run.who, f"order {run.number}: {self.wanted.what}")
            except PermitError as error:
                run.reason = error.what
                break
            run.permit_issued(unit)
            self._boots[unit] = self._hands.instances[unit].boot

    def _fresh(self) -> bool:
        """Whether all were asked just now; else they are, and what needs it waits. A process that stands still
        keeps its link, so a link that is up does not show that there is anybody."""
        if time.monotonic() - self._asked_at <= FRESH_S:
            return True
        if not self._asking:
            self._asking = True
            self._spawn(self._ask_all())
        return False

    async def _ask_all(self) -> None:
        began = time.monotonic()
        try:
            silent = await self._hands.silent([n for n, i in self._hands.instances.items() if i.connected])
            self._dumb = dict.fromkeys(silent, began)
            self._asked_at = time.monotonic()
        finally:
            self._asking = False

    def _is_dumb(self, instance: Instance) -> bool:
        asked = self._dumb.get(instance.name)
        if asked is None:
            return False
        if instance.history and instance.history[-1][0] > asked:  # heard since
            del self._dumb[instance.name]
            return False
        return True

    def _tell(self) -> None:
        """What is written down, and not told: to whom it has not been told in this life of the agent."""
        if not self._acts:
            return
        for permit in self.permits.open:
            unit = permit.unit
            if permit.number in self._told or (permit.stage is not Stage.ISSUED and not self._restarts):
                continue
            instance = self._hands.instances.get(unit)
            if instance is None or not instance.connected:
                continue
            if instance.boot != self._boots.get(unit):
                if permit.stage is Stage.ISSUED:
                    self.permits.mark_notified(
                        unit
                    )  # by an agent that died before it could note it: it has been out
                continue
            self._told.add(permit.number)
            self._spawn(self._step(permit.number, unit))

    async def _step(self, number: int, unit: str) -> None:
        try:
            denied = await self._hands.step(unit, self.wanted.what, self.permits.epoch)
        except CannotKeepError as error:
            denied = error.line()
        if denied and self.run is not None:
            self._told.discard(number)
            self.permits.revoke(self._clock.now(), self.account, unit, denied)
            self.run.fail(unit, denied)
            self._write("agent", "drain refused", instance=unit, reason=denied)
        else:
            self.permits.mark_notified(unit)
        with contextlib.suppress(CannotKeepError):  # the next look writes it
            self._save_changes()

    async def _look_at_line(self) -> None:
        names = [name for name, instance in self._hands.instances.items() if instance.connected]
        step = max(1, len(names) // LINE_ASKED)
        rungs = sorted(await self._hands.rungs(names[::step][:LINE_ASKED]))
        self._line_up = bool(rungs) and rungs[len(rungs) // 2] > 0

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _current(self, now: float) -> FleetState:
        if set(self.account.units) != set(self._hands.instances):
            entries = self.account.statuses
            self.account = account_of(self._hands.instances.values(), self.wanted)
            self.account.statuses = entries
        return self._seen(self.account, now)

    def _seen(self, account: FleetState, now: float) -> FleetState:
        """What links tell of each: connected and serving, and by which process."""
        for permit in self.permits.open:
            if permit.unit in account.units and account.status_of(permit.unit).state is UnitState.UNKNOWN:
                account.mark_draining(now, permit.unit, f"{permit.why}, by {permit.who}")
        for name, instance in self._hands.instances.items():
            if name not in account.units:
                continue
            if not instance.connected:
                account.lose_contact(now, name, instance.left or "no link")
                continue
            if self._is_dumb(instance):
                account.lose_contact(now, name, "does not answer")
                continue
            permit = self.permits.for_unit(name)
            going = account.status_of(name).state is UnitState.DRAINING
            if permit is not None and instance.boot != self._boots.get(name, instance.boot):
                if going:
                    account.observe(now, name, False)  # it has been out between two looks
            elif permit is not None and (self._restarts or (going and instance.state == "serving")):
                # Still on its way out: in the process of then it has not been out, whoever lost sight of it.
                if not going:
                    account.mark_draining(now, name, f"{permit.why}, by {permit.who}")
                continue
            account.observe(now, name, instance.state == "serving", "")
        return account

    @property
    def _restarts(self) -> bool:
        return self.wanted.what == "restart"

    def _save(self) -> None:
        boots = {permit.unit: self._boots.get(permit.unit, "") for permit in self.permits.open}
        kept = {
            "run": self.run.to_json() if self.run is not None else "", "permits": self.permits.to_json(),
            "epoch": self.permits.epoch, "boots": boots, "wanted": _text(self.wanted),
        }  # fmt: skip
        with self._store.transaction():
            self._store.set(KEPT, json.dumps(kept))
        self._kept = self._changing()

    def _save_changes(self) -> None:
        if self._changing() != self._kept:
            self._save()

    def _changing(self) -> tuple[Any, ...]:
        """What changes as an order goes on."""
        return (self.run.to_json() if self.run is not None else "", self.permits.to_json(), self.permits.epoch)


def _text(wanted: Wanted) -> dict[str, Any]:
    return {name: getattr(wanted, name) for name in Wanted.__slots__}


def _wanted(row: Mapping[str, Any]) -> Wanted:
    floors = tuple((str(where), float(figure), bool(share)) for where, figure, share in row["floors"])
    return Wanted(**{**row, "names": tuple(row["names"]), "floors": floors})
