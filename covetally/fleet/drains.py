"""The agent's side of drain orders: which sidecars are out of service, the permits, and the current order.
`covetally/drainplan` makes the decisions; this module saves them, then notifies the sidecars, and compares the
result with what it observes.

    step                                      if the agent crashes right after it
    ----                                      -----------------------------------
    the order and its permits are saved in    no sidecar was notified: each permit holder that still runs the same
    one commit, with the boot id of each      process is notified, and counts as out until it runs another process
    permit holder
    a permit holder is notified, and the      the same: the notification may have been saved before the supervisor
    notification is saved                     restarted the process
    a permit holder is observed out of        as if the notification had been saved
    service, or in another process
    a permit holder is observed back in       the same is observed again
    service, and its permit ends

After a start, the agent only listens for LISTEN_S and notifies no sidecar. It then acts in a new epoch, above all
epochs that the store and the sidecars know. A sidecar refuses messages of an epoch lower than the highest it has
seen.
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

LISTEN_S = 3.0
TICK_S = 0.2
OVERLOAD_POLL_S = 1.0  # interval between two polls of the admission threshold
OVERLOAD_SAMPLE = 5  # sidecars polled for it
PROBE_VALID_S = 1.0  # permits are issued only if all sidecars were probed within this time
STORE_KEY = "drains"


class AgentOperations(Protocol):
    """What a drain order needs from the agent."""

    instances: dict[str, Instance]

    async def step(self, name: str, what: str, epoch: int) -> str:
        """Tell an instance to restart or to drain. Returns an empty string, or why it refuses."""

    async def silent(self, names: list[str]) -> set[str]:
        """Those of the named instances that do not answer although they are connected."""

    async def overload_levels(self, names: list[str]) -> list[int]:
        """The levels of the admission threshold at the named instances that answer and have one."""


@dataclass(frozen=True, slots=True)
class DrainRequest:
    """A drain order as operators request it. Each floor is for a zone name, "each" zone or "all" for the fleet,
    and in units of capacity or as a share of the present capacity."""

    names: tuple[str, ...]
    what: str = "restart"  # or "drain": the instances stay out until they are resumed
    floors: tuple[tuple[str, float, bool], ...] = ()  # (zone, "each" or "all"; figure; whether it is a share)
    after_loss: float = 0.0
    drain_s: float = 5.0
    return_s: float = 10.0
    warm_s: float = 0.0


def fleet_state_of(instances: Iterable[Instance], request: DrainRequest) -> FleetState:
    """The state of all known sidecars, with the floors of a request. UnitsError if a label or floor is bad."""
    units: dict[str, Unit] = {}
    for instance in instances:
        text = instance.labels.get("capacity", "1")
        try:
            capacity = float(text)
        except ValueError:
            raise UnitsError(
                f"{instance.name} has the label capacity = {text!r}, which is not a number"
            ) from None
        units[instance.name] = Unit(
            instance.name, instance.labels.get("zone", ""), Kind.SIDECAR, capacity, "",
            request.drain_s, request.return_s, request.warm_s,
        )  # fmt: skip
    zones = {unit.zone for unit in units.values()}
    capacities = {zone: sum(unit.capacity for unit in units.values() if unit.zone == zone) for zone in zones}
    by_zone: dict[tuple[Kind, str], float] = {}
    fleet: dict[Kind, float] = {}
    for where, figure, share in request.floors:
        if where == "all":
            fleet[Kind.SIDECAR] = figure * sum(capacities.values()) if share else figure
        elif where == "each":
            by_zone |= {(Kind.SIDECAR, zone): figure * capacities[zone] if share else figure for zone in zones}
        elif where in zones:
            by_zone[Kind.SIDECAR, where] = figure * capacities[where] if share else figure
        else:
            raise UnitsError(f"no zone {where!r}: there are {', '.join(sorted(zones))}")
    after = {Kind.SIDECAR: request.after_loss} if request.after_loss else {}
    return FleetState(units, Floors(by_zone, fleet, after))


class Drains:
    """Carries out drain orders, one at a time."""

    def __init__(
        self, store: Store, operations: AgentOperations, write: Callable[..., None], clock: SteadyClock
    ) -> None:
        self._store, self._operations, self._write, self._clock = store, operations, write, clock
        saved = json.loads(store.get(STORE_KEY) or "{}")
        self.run = DrainRun.from_json(saved["run"]) if saved.get("run") else None
        self.request = _request_from_row(saved["wanted"]) if saved.get("wanted") else DrainRequest(())
        self._boots: dict[str, str] = saved.get("boots", {})
        known_epoch = int(saved.get("epoch", 0))
        self.permits = Permits(known_epoch, saved.get("permits", ""))
        self.account = FleetState({}, Floors())
        self._listen_until = 0.0
        self._has_own_epoch = False
        self._overloaded = False
        self._overload_polled_at = 0.0
        self._notified: set[int] = set()  # permits whose holders this agent process notified
        self._unresponsive: dict[str, float] = {}  # instances that did not answer a probe, and its time
        self._probed_at = float("-inf")
        self._probing = False
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._saved_state: tuple[Any, ...] = ()  # the result of `_state_to_save` when last saved

    # --- operators' requests --------------------------------------------------------------------

    def preview(self, request: DrainRequest) -> dict[str, Any]:
        """Plan an order without starting it: its waves, duration and bound."""
        account = self._observe(fleet_state_of(self._operations.instances.values(), request), self._clock.now())
        order = plan(account, request.names, self._clock.now())
        return {
            "waves": [{"units": list(wave.units), "seconds": wave.seconds} for wave in order.waves],
            "seconds": order.seconds, "bound_s": order.bound_s, "text": order.describe(),
        }  # fmt: skip

    def start(self, request: DrainRequest, who: str, why: str) -> dict[str, Any]:
        """Start an order; it is saved before this returns. PermitError while another order is in progress."""
        if self.run is not None and self.run.phase is not Phase.DONE:
            raise PermitError(
                f"order {self.run.number} by {self.run.who} is {self.run.phase.value}",
                "Wait until it is done, or end it with `cindersail drain back`.",
            )
        self.preview(request)
        number = (self.run.number if self.run else 0) + 1
        before = self.request, self.run, self.account
        self.request, self.run = request, DrainRun(number, who, why, list(request.names))
        self.account = fleet_state_of(self._operations.instances.values(), request)
        try:
            self._save()
        except CannotKeepError:
            self.request, self.run, self.account = before
            raise
        names = list(request.names)[:1000]
        self._write(who, "drain start", order=number, how=request.what, instances=names, reason=why)
        self._schedule_tick()
        return self.as_dict()

    def steer(self, who: str, what: str, why: str) -> dict[str, Any]:
        """Halt, resume or take back the current order; saved before this returns."""
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
                if permit.number not in self._notified:
                    self.permits.revoke(self._clock.now(), self.account, permit.unit, f"{what} by {who}")
        self._save()
        self._write(who, f"drain {what}", order=run.number, reason=why)
        self._schedule_tick()
        return self.as_dict()

    def write_off(self, who: str, unit: str) -> dict[str, Any]:
        """Record an operator's statement that a unit will not come back."""
        permit = self.permits.write_off(unit, who)
        self._save()
        self._write(who, "drain write-off", instance=unit)
        self._schedule_tick()
        return permit.as_dict()

    def as_dict(self) -> dict[str, Any]:
        """The order, its permits and the units that are out of service, for the API."""
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
            "now": self._clock.now(), "listens_s": round(max(0.0, self._listen_until - time.monotonic()), 1),
        }  # fmt: skip

    # --- progress of the order ------------------------------------------------------------------

    def open(self) -> None:
        """Continue the stored order. Must be called in the running event loop."""
        self._listen_until = time.monotonic() + LISTEN_S
        if self.run is not None and self.run.phase is not Phase.DONE:
            self._schedule_tick()

    def close(self) -> None:
        """Cancel the timer and all tasks."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def observe_epoch(self, epoch: int) -> None:
        """Take note of the epoch that a sidecar reports."""
        self.permits.observe_epoch(epoch)

    def _schedule_tick(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        run = self.run
        if run is None or (run.phase is Phase.DONE and not self.permits.open):
            return
        self._schedule_tick()
        now = self._clock.now()
        account = self._current(now)
        self.permits.reconcile(account)
        try:
            if time.monotonic() >= self._listen_until:
                self._issue_permits(now, run, account)
            self._save_changes()
        except CannotKeepError as error:  # no sidecar is notified of unsaved state; the next tick saves it
            log.warning("%s", error.as_line())
            return
        self._notify_holders()
        if time.monotonic() - self._overload_polled_at >= OVERLOAD_POLL_S:
            self._overload_polled_at = time.monotonic()
            self._spawn(self._poll_overload())

    def _issue_permits(self, now: float, run: DrainRun, account: FleetState) -> None:
        if not self._has_own_epoch:
            self.permits.epoch = next_epoch((self.permits.epoch, self.permits.highest_epoch))
            self.permits.highest_epoch = self.permits.epoch
            self._save()
            self._has_own_epoch = True
        units = run.next_wave(now, account, self.permits, self._overloaded)
        if (units or self._unresponsive) and not self._recently_probed():
            return
        for unit in units:
            try:
                self.permits.issue(now, account, unit, run.who, f"order {run.number}: {self.request.what}")
            except PermitError as error:
                run.reason = error.message
                break
            run.permit_issued(unit)
            self._boots[unit] = self._operations.instances[unit].boot

    def _recently_probed(self) -> bool:
        """Whether all instances were probed recently; if not, start probing, and the caller has to wait. A hung
        process keeps its connection, so a connected link does not show that the instance is responsive."""
        if time.monotonic() - self._probed_at <= PROBE_VALID_S:
            return True
        if not self._probing:
            self._probing = True
            self._spawn(self._probe_all())
        return False

    async def _probe_all(self) -> None:
        began = time.monotonic()
        try:
            silent = await self._operations.silent(
                [n for n, i in self._operations.instances.items() if i.connected]
            )
            self._unresponsive = dict.fromkeys(silent, began)
            self._probed_at = time.monotonic()
        finally:
            self._probing = False

    def _is_unresponsive(self, instance: Instance) -> bool:
        probed_at = self._unresponsive.get(instance.name)
        if probed_at is None:
            return False
        if instance.history and instance.history[-1][0] > probed_at:  # a heartbeat came since
            del self._unresponsive[instance.name]
            return False
        return True

    def _notify_holders(self) -> None:
        """Notify the holders of saved permits that this agent process has not notified yet."""
        if not self._has_own_epoch:
            return
        for permit in self.permits.open:
            unit = permit.unit
            if permit.number in self._notified or (permit.stage is not Stage.ISSUED and not self._is_restart):
                continue
            instance = self._operations.instances.get(unit)
            if instance is None or not instance.connected:
                continue
            if instance.boot != self._boots.get(unit):
                if permit.stage is Stage.ISSUED:
                    # An earlier agent notified it and crashed before saving that: it has been out.
                    self.permits.mark_notified(unit)
                continue
            self._notified.add(permit.number)
            self._spawn(self._step(permit.number, unit))

    async def _step(self, number: int, unit: str) -> None:
        try:
            denied = await self._operations.step(unit, self.request.what, self.permits.epoch)
        except CannotKeepError as error:
            denied = error.as_line()
        if denied and self.run is not None:
            self._notified.discard(number)
            self.permits.revoke(self._clock.now(), self.account, unit, denied)
            self.run.fail(unit, denied)
            self._write("agent", "drain refused", instance=unit, reason=denied)
        else:
            self.permits.mark_notified(unit)
        with contextlib.suppress(CannotKeepError):  # the next tick saves it
            self._save_changes()

    async def _poll_overload(self) -> None:
        names = [name for name, instance in self._operations.instances.items() if instance.connected]
        stride = max(1, len(names) // OVERLOAD_SAMPLE)
        levels = sorted(await self._operations.overload_levels(names[::stride][:OVERLOAD_SAMPLE]))
        self._overloaded = bool(levels) and levels[len(levels) // 2] > 0

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _current(self, now: float) -> FleetState:
        if set(self.account.units) != set(self._operations.instances):
            entries = self.account.statuses
            self.account = fleet_state_of(self._operations.instances.values(), self.request)
            self.account.statuses = entries
        return self._observe(self.account, now)

    def _observe(self, account: FleetState, now: float) -> FleetState:
        """Update the state of each unit from its link: whether it is connected and serving, and in which
        process."""
        for permit in self.permits.open:
            if permit.unit in account.units and account.status_of(permit.unit).state is UnitState.UNKNOWN:
                account.mark_draining(now, permit.unit, f"{permit.why}, by {permit.who}")
        for name, instance in self._operations.instances.items():
            if name not in account.units:
                continue
            if not instance.connected:
                account.lose_contact(now, name, instance.left or "not connected")
                continue
            if self._is_unresponsive(instance):
                account.lose_contact(now, name, "unresponsive")
                continue
            permit = self.permits.for_unit(name)
            going = account.status_of(name).state is UnitState.DRAINING
            if permit is not None and instance.boot != self._boots.get(name, instance.boot):
                if going:
                    account.observe(now, name, False)  # it was out between two ticks
            elif permit is not None and (self._is_restart or (going and instance.state == "serving")):
                # Still draining: the same process runs, so it has not been out, even if contact was lost.
                if not going:
                    account.mark_draining(now, name, f"{permit.why}, by {permit.who}")
                continue
            account.observe(now, name, instance.state == "serving", "")
        return account

    @property
    def _is_restart(self) -> bool:
        return self.request.what == "restart"

    def _save(self) -> None:
        boots = {permit.unit: self._boots.get(permit.unit, "") for permit in self.permits.open}
        state = {
            "run": self.run.to_json() if self.run is not None else "", "permits": self.permits.to_json(),
            "epoch": self.permits.epoch, "boots": boots, "wanted": _request_row(self.request),
        }  # fmt: skip
        with self._store.transaction():
            self._store.set(STORE_KEY, json.dumps(state))
        self._saved_state = self._state_to_save()

    def _save_changes(self) -> None:
        if self._state_to_save() != self._saved_state:
            self._save()

    def _state_to_save(self) -> tuple[Any, ...]:
        """The part of the state that changes while an order is carried out."""
        return (self.run.to_json() if self.run is not None else "", self.permits.to_json(), self.permits.epoch)


def _request_row(request: DrainRequest) -> dict[str, Any]:
    return {name: getattr(request, name) for name in DrainRequest.__slots__}


def _request_from_row(row: Mapping[str, Any]) -> DrainRequest:
    floors = tuple((str(where), float(figure), bool(share)) for where, figure, share in row["floors"])
    return DrainRequest(**{**row, "names": tuple(row["names"]), "floors": floors})
