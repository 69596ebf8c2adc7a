"""The agent: connects the store, the links and the rollouts, and carries out the actions that rollouts decide on.

Each event is first processed by the modules without I/O, then the changed state is written to the store in one
transaction, and only then messages are sent. An agent that is killed at any moment has therefore sent nothing
that its store does not contain. After its next start it learns from each instance which configuration it has.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from covetally.control.protocol import Message, digest
from covetally.fleet import registry, rollout
from covetally.fleet.instance_requests import PING_TIMEOUT_S, InstanceRequests
from covetally.fleet.audit import Audit
from covetally.fleet.document import changed_keys, reverted_layer
from covetally.fleet.drafts import Drafts, recovered_document
from covetally.fleet.drains import Drains, DrainRequest
from covetally.fleet.freezes import Freezes
from covetally.fleet.agent_state import AgentState
from covetally.fleet.links import Link
from covetally.fleet.orders import Command, DesiredOrders
from covetally.fleet.errors import AgentRefusedError
from covetally.fleet.registry import Instance
from covetally.fleet.rollout import Member, Phase, Plan, Restart, Rollout, Send, MemberState, UndoRequested
from covetally.fleet.rollout_record import Draft, RolloutRecord
from covetally.fleet.selector import Selector, parse
from covetally.fleet.steady_clock import SteadyClock
from covetally.fleet.store import CannotKeepError, Revision, RolloutRow, Store
from covetally.fleet.watchers import Watchers

log = logging.getLogger(__name__)

SAVE_RETRY_S = 0.5  # delay before a failed write to the store is repeated
BATCH_INTERVAL_S = 0.005  # events within this time are written in one transaction
RECOVERY_WINDOW_S = 10.0  # an agent with a new store collects reports of instances for this time
MAX_ENDED_ROLLOUTS = 50  # ended rollouts kept in memory for instances that reconnect late


class Agent:
    """The state and the decisions of one agent, based on one store."""

    def __init__(
        self,
        store: Store,
        audit: Audit,
        admits: Callable[[str, str], bool] | None = None,
        recover_s: float = RECOVERY_WINDOW_S,
    ) -> None:
        self._store, self._audit = store, audit
        self._recover_s = recover_s
        self._admits = admits
        self.instances: dict[str, Instance] = {
            name: registry.from_row(name, row) for name, row in store.instances().items()
        }
        self._outbox: list[tuple[RolloutRecord, Send | Restart]] = []  # to be executed once the state is saved
        self._save_failed = False  # the last write to the store failed
        self._flush_timer: asyncio.TimerHandle | None = None
        self._tick_timer: asyncio.TimerHandle | None = None
        self.supervised: Callable[[], list[dict[str, Any]]] = list
        self.watchers = Watchers(self._rollout_table)
        self._state = AgentState(store, self.instances, self.watchers.mark_changed)
        self.started = time.time()
        self._recover_until = 0.0
        self.recovered = store.get("recovered") == "yes"
        self.freezes = Freezes(store.get("freezes"))
        self.clock = SteadyClock(store.get("clock"))
        self._save_clock()
        self.orders = DesiredOrders(store)
        self.instance_requests = InstanceRequests(self.instances, self.orders, self.clock)
        self.drafts = Drafts(store, self.instances, self.instance_requests)
        self.drains = Drains(store, self.instance_requests, audit.write, self.clock)
        self._opened = False

    def _save_clock(self) -> None:
        with self._store.transaction():
            self._store.set("clock", self.clock.to_json())

    # --- start and stop -------------------------------------------------------------------------

    def open(self) -> None:
        """Resume from the state in the store. Call this in the running event loop, before links are accepted."""
        now = self._now()
        if self._store.new and self._recover_s > 0:
            self._recover_until = now + self._recover_s
            asyncio.get_running_loop().call_later(self._recover_s, self._recover)
        for row in reversed(self._store.rollouts(limit=MAX_ENDED_ROLLOUTS)):
            restored = rollout.from_rows(row.number, row.head, self._store.members(row.number), now)
            queued = bool(row.head.get("queued"))
            self._state.rollouts[row.number] = RolloutRecord(restored, row, parse(row.selector), queued)
        for record in list(self._state.rollouts.values()):
            if record.active and not record.queued:
                self._add_actions(record, record.rollout.start(now))
        self._opened = True
        self.drains.open()
        self._audit.write("agent", "start", revision=self._store.head().number)
        self._try_to_flush()

    def close(self) -> None:
        """Save unsaved changes and cancel the timers."""
        self.drains.close()
        self._try_to_flush()
        for timer in (self._flush_timer, self._tick_timer, self.watchers.timer):
            if timer is not None:
                timer.cancel()

    def _now(self) -> float:
        return time.monotonic()

    # --- instances: the callbacks of links.LinkHandler --------------------------------------------

    def admit(self, link: Link, hello: Message) -> str | None:
        """See `links.LinkHandler`."""
        if link.tcp and (self._admits is None or not self._admits(str(hello.get("token", "")), link.name)):
            return "its token does not permit this name"
        known = self.instances.get(link.name)
        if known is not None and known.link is not None and not known.link.closed:
            if known.boot == hello["boot"]:
                known.link.end("the instance has connected again")
            else:
                # Either two instances claim one name, or the old link is dead without having been closed. A ping
                # on the old link tells which.
                asyncio.get_running_loop().create_task(self._resolve_name_conflict(known, link))
                return None
        self._accept(link)
        return None

    async def _resolve_name_conflict(self, known: Instance, link: Link) -> None:
        """Accept the new link if the instance does not answer on its old link; otherwise deny the new one."""
        old = known.link
        try:
            await self.instance_requests.request(known, {"t": "ask", "what": "ping"}, PING_TIMEOUT_S)
        except AgentRefusedError:
            if old is not None:
                old.end("did not answer while another instance claimed its name")
            if not link.closed:
                self._accept(link)
            return
        self._audit.write(link.name, "denied", why="the name is in use", pid=link.hello.get("pid"))
        link.deny(f"the name {link.name} is in use by pid {known.pid}, which answers")

    def _accept(self, link: Link) -> None:
        hello = link.hello
        instance = self.instances.get(link.name)
        if instance is None:
            instance = self.instances[link.name] = Instance(link.name)
        old, instance.link = instance.link, link
        if old is not None and not old.closed:
            old.end("replaced by another link of the same instance")
        instance.labels = registry.valid_labels(hello["labels"])
        instance.boot, instance.pid, instance.version = hello["boot"], hello["pid"], hello["version"][:63]
        instance.revision, instance.values = hello["revision"], hello["values"]
        instance.keeps, instance.may_restart = bool(hello.get("keeps")), bool(hello.get("may_restart"))
        instance.left, instance.note = "", ""
        instance.history.clear()
        instance.assigned_digest = (-1, "")  # the labels may have changed
        instance.last_offered = ("", "")
        pending = str(hello.get("pending", ""))
        heartbeat = {"digest": hello["digest"], "pending": pending, "counts": {}, "state": _state_in_hello(hello)}
        instance.record_heartbeat(self._now(), self.clock.now(), heartbeat)
        self.orders.reconcile(instance.name, hello.get("orders"), self.clock.now())
        link.welcome(self.orders.desired(instance.name))
        self._state.unsaved_instances.add(instance.name)
        epoch = hello.get("epoch")
        self.drains.observe_epoch(epoch if isinstance(epoch, int) else 0)
        failed, reason = str(hello.get("failed", "")), str(hello.get("reason", ""))[:500]
        for record in self._state.rollouts.values():
            if instance.name in record.rollout.members and not record.queued:
                actions = record.rollout.on_connected(
                    self._now(), instance.name, instance.boot, instance.digest, instance.holds, failed, reason
                )
                self._add_actions(record, actions)
        self._update_instance(instance, failed, reason)
        self.watchers.notify({"instance": instance.name, "connected": True})

    def received(self, link: Link, message: Message) -> None:
        """See `links.LinkHandler`."""
        instance = self.instances.get(link.name)
        if instance is None or instance.link is not link:
            return
        now = self._now()
        match message["t"]:
            case "beat":
                instance.record_heartbeat(now, self.clock.now(), message)
                link.send({"t": "seen"})
                self._compare_orders(instance, message)
                for record in self._rollouts_of(instance):
                    totals = instance.totals()
                    self._add_actions(
                        record,
                        record.rollout.on_heartbeat(now, instance.name, instance.digest, instance.holds, *totals),
                    )
                self._update_instance(instance)
            case "ack":
                self._handle_ack(instance, message)
            case "answer":
                self.instance_requests.receive_answer(instance.name, message)
            case "bye":
                instance.left = str(message["reason"])[:200] or "ended"
                for record in self._rollouts_of(instance):
                    self._add_actions(record, record.rollout.on_left(now, instance.name, instance.left))
                self._state.unsaved_instances.add(instance.name)
                self._schedule_flush()

    def _compare_orders(self, instance: Instance, heartbeat: Message) -> None:
        """Send an instance its desired orders again if its heartbeat shows that it has others."""
        reported = heartbeat.get("orders")
        if isinstance(reported, int):
            self.instance_requests.restore(instance, reported)
        elif self.orders.desired(instance.name).draining and heartbeat["state"] == "serving":
            self.instance_requests.restore(instance, 0)  # a version that does not report orders

    def _handle_ack(self, instance: Instance, message: Message) -> None:
        outcome, offered = message["outcome"], message["digest"]
        errors = [e for e in message.get("errors", []) if isinstance(e, dict)][:50]
        keys = [str(k) for k in message.get("keys", [])][:50]
        instance.digest, instance.keeps = message["held"], bool(message.get("keeps"))
        instance.holds = offered if outcome == "needs_restart" else ""
        if outcome != "took":
            instance.last_answered = (instance.boot, offered)
        if outcome == "took":
            instance.revision, instance.note = message["revision"], ""
        elif outcome == "refused":
            text = "; ".join(f"{e.get('key')}: {e.get('reason')}" for e in errors)
            instance.note = f"refused revision {message['revision']}: {text}"[:500]
        else:
            instance.note = f"revision {message['revision']} waits for a restart: {', '.join(keys)}"[:500]
        self._state.unsaved_instances.add(instance.name)
        for record in self._rollouts_of(instance):
            actions = record.rollout.on_answer(
                self._now(), instance.name, offered, outcome, instance.digest, errors, keys, instance.keeps
            )
            self._add_actions(record, actions)
        self._schedule_flush()

    def ended(self, link: Link, reason: str) -> None:
        """See `links.LinkHandler`."""
        instance = self.instances.get(link.name)
        if instance is None or instance.link is not link:
            return
        instance.link = None
        for record in self._rollouts_of(instance):
            self._add_actions(record, record.rollout.on_connection_lost(self._now(), instance.name, reason))
        self._state.unsaved_instances.add(instance.name)
        self._schedule_flush()
        self.watchers.notify({"instance": instance.name, "connected": False, "reason": reason})

    def _rollouts_of(self, instance: Instance) -> list[RolloutRecord]:
        """The rollouts in memory that have the instance as a member and are not queued."""
        return [r for r in self._state.rollouts.values() if not r.queued and instance.name in r.rollout.members]

    # --- instances outside of active rollouts ------------------------------------------------------

    def _update_instance(self, instance: Instance, failed: str = "", reason: str = "") -> None:
        """Send an instance the settings of its assigned revision, unless an active rollout includes it.

        A new instance is first added to the active rollouts whose selector matches it.
        """
        if not self._opened or self._recovering() or not instance.connected:
            return
        if instance.assigned < 0:
            instance.assigned = self._state.default_revision
            self._state.unsaved_instances.add(instance.name)
            for record in list(self._state.rollouts.values()):
                r, matches = record.rollout, record.selector.matches(instance.name, instance.labels)
                in_progress = record.active and not record.queued and r.phase is not Phase.UNDOING
                if in_progress and r.kind == "change" and matches:
                    self._add_actions(
                        record, r.add_member(self._now(), self._build_member(instance, record.row.revision, 0))
                    )
        if any(r.active and instance.name in r.rollout.members for r in self._state.rollouts.values()):
            return
        if instance.assigned_digest[0] != instance.assigned:
            instance.assigned_digest = (
                instance.assigned,
                str(self.drafts.desired_settings(instance).get("digest", "")),
            )
        desired = instance.assigned_digest[1]
        if desired == failed:
            instance.note = f"revision {instance.assigned}: {reason}"
            self._state.unsaved_instances.add(instance.name)
            instance.last_answered = (instance.boot, desired)
        if not desired:
            return
        if instance.digest == desired and not instance.holds:
            if instance.note and not failed:
                instance.note = ""
                self._state.unsaved_instances.add(instance.name)
                self._schedule_flush()
            return
        if (instance.boot, desired) in (instance.last_offered, instance.last_answered):
            return  # sent on this link already, or refused or deferred by this process, which would do so again
        instance.last_offered = (instance.boot, desired)
        log.info("sending %s the settings of revision %d", instance.name, instance.assigned)
        self._send_settings(instance, instance.assigned)

    # --- recovery of a lost store -----------------------------------------------------------------

    def _recovering(self) -> bool:
        return self._now() < self._recover_until

    def _recover(self) -> None:
        """Create the desired state from the reports of instances, because the store was new."""
        reports = [i for i in self.instances.values() if i.connected and i.revision > 0]
        if reports and self._store.head().number == 0:
            try:
                self._recover_from(reports)
            except CannotKeepError as error:  # no changes are allowed until this is saved
                log.error("%s", error.as_line())
                self._recover_until = self._now() + SAVE_RETRY_S
                asyncio.get_running_loop().call_later(SAVE_RETRY_S, self._recover)
                return
        self._recover_until = 0.0
        for instance in list(self.instances.values()):
            self._update_instance(instance)
        self._try_to_flush()

    def _recover_from(self, reports: list[Instance]) -> None:
        number = max(instance.revision for instance in reports)
        document = recovered_document(reports)
        text = f"recovered from what {len(reports)} instances reported"
        revision = Revision(number, 0, time.time(), "agent", text, "", document.digest(), document)
        with self._store.transaction():
            self._store.add_revision(revision)
            self._store.set("recovered", "yes")
            self._state.default_revision = number
            for instance in reports:
                instance.assigned = number
                self._state.unsaved_instances.add(instance.name)
            self._save()
        self.recovered = True
        log.warning("the store was lost: revision %d %s", number, text)
        self._audit.write("agent", "recover", revision=number, instances=len(reports))

    # --- executing actions ------------------------------------------------------------------------

    def _add_actions(self, record: RolloutRecord, actions: list[Any]) -> None:
        """Queue the actions of a rollout for the next flush."""
        self._state.pending_actions += [(record, action) for action in actions]
        record.undo_requested |= any(isinstance(action, UndoRequested) for action in actions)
        if actions or record.rollout.unsaved_members:
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flush_timer is None:
            self._flush_timer = asyncio.get_running_loop().call_later(BATCH_INTERVAL_S, self._try_to_flush)

    def _try_to_flush(self) -> None:
        """Flush without raising; a failed flush is repeated by a timer until it succeeds."""
        with contextlib.suppress(CannotKeepError):
            self.flush()

    def flush(self) -> None:
        """Save all changes, then execute the actions of the rollouts.

        Raises CannotKeepError if the disk refuses the write. No action is executed then, and the next flush
        writes everything.
        """
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        try:
            self._process_actions()
            with self._store.transaction():
                self._save()
        except CannotKeepError as error:
            if not self._save_failed:
                log.error("%s", error.as_line())
            self._save_failed = True
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(SAVE_RETRY_S, self._try_to_flush)
            raise
        if self._save_failed:
            log.info("the store can be written again")
        self._save_failed = False
        ready, self._outbox = self._outbox, []
        for record, action in ready:
            self._execute(record, action)
        self._schedule_tick()

    def _process_actions(self) -> None:
        """Finish ended rollouts, start queued ones, and move pending actions to the outbox."""
        self._finish_ended_rollouts()
        while self._state.pending_actions:
            record, action = self._state.pending_actions[0]
            if isinstance(action, UndoRequested):
                self._undo_automatically(record, action.reason)  # stays pending if it cannot be saved
                self._state.pending_actions.remove((record, action))
            else:
                self._state.pending_actions.pop(0)
                self._outbox.append((record, action))
                if isinstance(action, Send) and action.name in self.instances:
                    row = record.row
                    assigned = row.undo_revision if action.undo else row.revision
                    self.instances[action.name].assigned = assigned
                    self._state.unsaved_instances.add(action.name)
            if not self._state.pending_actions:
                self._finish_ended_rollouts()

    def _save(self) -> None:
        self._state.save(self._now())

    def _execute(self, record: RolloutRecord, action: Send | Restart) -> None:
        instance = self.instances.get(action.name)
        if instance is None:
            return
        if isinstance(action, Restart):
            asyncio.get_running_loop().create_task(self._restart(record, instance))
            return
        self._send_settings(instance, record.row.undo_revision if action.undo else record.row.revision)

    def _send_settings(self, instance: Instance, number: int) -> None:
        """Send an instance its settings according to a revision."""
        revision = self._store.revision(number)
        if revision is not None and instance.link is not None:
            values = revision.document.effective(instance.name, instance.labels)
            instance.link.send({"t": "apply", "revision": number, "digest": digest(values), "values": values})

    async def _restart(self, record: RolloutRecord, instance: Instance) -> None:
        """Restart an instance by the supervisor, or ask it to restart itself."""
        if self.instance_requests.restarter(instance.name):
            return
        try:
            answer = await self.instance_requests.request(instance, {"t": "do", "what": "restart"})
            refusal = str(answer.get("error", ""))
        except AgentRefusedError:
            return  # its next hello or the timeout of the rollout decides
        if refusal:
            self._add_actions(record, record.rollout.on_restart_refused(self._now(), instance.name, refusal))

    def _schedule_tick(self) -> None:
        """Set the timer for the next time at which a rollout has to act."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
            self._tick_timer = None
        now = self._now()
        due_times = [
            due
            for r in self._state.rollouts.values()
            if not r.queued and (due := r.rollout.next_due(now)) is not None
        ]
        if due_times:
            self._tick_timer = asyncio.get_running_loop().call_later(max(0.01, min(due_times)), self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        now = self._now()
        for record in list(self._state.rollouts.values()):
            if record.active and not record.queued:
                self._add_actions(record, record.rollout.tick(now))
        self._try_to_flush()

    def _finish_ended_rollouts(self) -> None:
        """Record the result of ended rollouts, and start queued rollouts that no longer overlap others."""
        for record in list(self._state.rollouts.values()):
            r, row = record.rollout, record.row
            if record.queued or not r.ended or row.ended:
                continue
            row.ended = True
            revision = row.undo_revision if r.phase is Phase.UNDONE else row.revision
            if r.kind == "change" and r.phase in (Phase.DONE, Phase.INCOMPLETE, Phase.UNDONE):
                self._state.default_revision = max(revision, self._state.default_revision)
                for member in r.members.values():
                    if member.state is not MemberState.REFUSED and member.name in self.instances:
                        self.instances[member.name].assigned = revision
                        self._state.unsaved_instances.add(member.name)
            missing = [m.name for m in r.missing()]
            log.info("rollout %d: %s, %d missing", r.number, r.phase.value, len(missing))
            self._audit.write(
                "agent", "rollout ended", rollout=r.number, phase=r.phase.value, missing=missing[:1000]
            )
        ended = [n for n, r in self._state.rollouts.items() if not r.active]
        for number in ended[:-MAX_ENDED_ROLLOUTS]:
            del self._state.rollouts[number]
        for record in list(self._state.rollouts.values()):
            if record.queued and not self._overlapping(record.selector, record.rollout.number):
                record.queued = False
                self._start_rollout(record)

    # --- requests of operators ---------------------------------------------------------------------

    def select(self, text: str) -> list[Instance]:
        """The instances that a selector matches, sorted by name; AgentRefusedError if the selector is invalid."""
        selector = self._parse_selector(text)
        found = [i for i in self.instances.values() if selector.matches(i.name, i.labels)]
        return sorted(found, key=lambda i: i.name)

    def _parse_selector(self, text: str) -> Selector:
        try:
            return parse(text)
        except ValueError as error:
            raise AgentRefusedError("bad_input", str(error)) from None

    def head(self) -> Revision:
        """The newest revision."""
        return self._store.head()

    def revision(self, number: int) -> Revision:
        """One revision; AgentRefusedError if it does not exist."""
        found = self._store.revision(number)
        if found is None:
            raise AgentRefusedError("unknown", f"there is no revision {number}")
        return found

    def revisions(self) -> list[Revision]:
        """All revisions, the newest first."""
        return self._store.revisions()

    def rollouts(self) -> list[RolloutRecord]:
        """The rollouts in memory, the newest first."""
        return sorted(self._state.rollouts.values(), key=lambda r: -r.rollout.number)

    def rollout_record(self, number: int) -> RolloutRecord:
        """One rollout, read from the store if it is not in memory; AgentRefusedError if it does not exist."""
        if number in self._state.rollouts:
            return self._state.rollouts[number]
        row = self._store.rollout(number)
        if row is None:
            raise AgentRefusedError("unknown", f"there is no rollout {number}")
        restored = rollout.from_rows(number, row.head, self._store.members(number), self._now())
        return RolloutRecord(restored, row, parse(row.selector))

    def rollout_time(self) -> float:
        """The current time on the clock of rollouts."""
        return self._now()

    def draft(
        self, who: str, parent: int, reason: str, selector: str, put: Mapping[str, Any] | None,
        set_: Mapping[str, Any], unset: list[str],
    ) -> Draft:  # fmt: skip
        """See `Drafts.draft`; also raises AgentRefusedError while the agent recovers."""
        self._require_recovered()
        return self.drafts.draft(who, parent, reason, self._parse_selector(selector), put, set_, unset)

    def change(self, draft: Draft, who: str, reason: str, plan: Plan, overlap: str) -> dict[str, Any]:
        """Write a draft as a revision and roll it out.

        Raises AgentRefusedError if another revision was created since the draft, or if a freeze or an overlapping
        rollout blocks it.
        """
        self._require_recovered()
        self._require_not_frozen(draft.selector, who)
        revision, scope, changes, affected = draft.revision, draft.selector, draft.changes, draft.affected
        if revision.parent != self._store.head().number:  # created while the instances were asked
            raise self.drafts.conflict(revision.parent, self._store.head())
        blocking = self._overlapping(scope)
        if blocking and overlap == "refuse":
            raise self._busy_error(blocking)
        with self._state.transaction(*blocking):
            self._store.add_revision(revision)
            if overlap == "supersede":
                self._supersede(blocking)
            record = self._create_rollout("change", revision, scope, who, reason, plan, affected)
            if blocking and overlap == "queue":
                record.queued = True
            else:
                self._start_rollout(record)
            self._save()  # in the same transaction as the revision
        number = revision.number
        done = {"revision": number, "rollout": record.rollout.number, "changes": changes, "reason": reason}
        self._audit.write(who, "change", **done)
        self._try_to_flush()  # the revision and its rollout are saved already
        return {"revision": number, "rollout": record.as_dict(self._now()), "changes": changes}

    def restart(self, who: str, reason: str, selector: str, plan: Plan, dry_run: bool) -> dict[str, Any]:
        """Roll out a restart; AgentRefusedError if a freeze or an overlapping rollout blocks it."""
        self._require_recovered()
        scope = self._parse_selector(selector)
        found = self.select(selector)
        if not found:
            raise AgentRefusedError("unknown", f"no instance matches {selector!r}")
        if not dry_run:
            self._require_not_frozen(scope, who)
        if dry_run:
            return {"dry_run": True, "would": [{"name": i.name, "connected": i.connected} for i in found]}
        blocking = self._overlapping(scope)
        if blocking:
            raise self._busy_error(blocking)
        with self._state.transaction():
            record = self._create_rollout("restart", self._store.head(), scope, who, reason, plan, found)
            self._start_rollout(record)
            self._save()
        self._audit.write(who, "restart", rollout=record.rollout.number, selector=str(scope), reason=reason)
        self._try_to_flush()
        return {"rollout": record.as_dict(self._now())}

    def start_drain(self, who: str, request: DrainRequest, reason: str, selector: str) -> dict[str, Any]:
        """Start a drain order; AgentRefusedError, or an error of `drainplan`, if it cannot be started."""
        self._require_recovered()
        scope = self._parse_selector(selector)
        self._require_not_frozen(scope, who)
        if blocking := self._overlapping(scope):
            raise self._busy_error(blocking)
        return self.drains.start(request, who, reason)

    def freeze(self, who: str, for_s: float, selector: str, reason: str, through: str) -> dict[str, Any]:
        """Freeze the instances that a selector matches for `for_s` seconds; saved before this returns."""
        self._require_recovered()
        self._parse_selector(selector)
        with self._saving_freezes():
            freeze = self.freezes.add(selector, self.clock.now(), for_s, who, reason, through)
        self._audit.write(
            who, "freeze", freeze=freeze.number, selector=freeze.selector, for_s=for_s, reason=reason
        )
        return self.freezes.as_dicts(self.clock.now())[0]

    def thaw(self, who: str, number: int) -> dict[str, Any]:
        """Lift a freeze; AgentRefusedError if it is not in force."""
        with self._saving_freezes():
            if self.freezes.lift(number, self.clock.now(), who) is None:
                raise AgentRefusedError("unknown", f"no freeze {number} is in force")
        self._audit.write(who, "thaw", freeze=number)
        return next(row for row in self.freezes.as_dicts(self.clock.now()) if row["number"] == number)

    @contextlib.contextmanager
    def _saving_freezes(self) -> Iterator[None]:
        """Save the freezes at the end of the block; if that fails, restore them and raise CannotKeepError."""
        before = self.freezes.to_json()
        try:
            with self._store.transaction():
                yield
                self._store.set("freezes", self.freezes.to_json())
                self._save_clock()
        except CannotKeepError:
            self.freezes = Freezes(before)
            raise

    def _require_not_frozen(self, scope: Selector, who: str) -> None:
        freeze = self.freezes.find_blocking(scope, who, self.clock.now())
        if freeze is not None:
            raise AgentRefusedError(
                "busy", f"{freeze.describe(self.clock.now())}: cindersail freeze lift {freeze.number}"
            )

    def steer(self, who: str, number: int, action: str, reason: str) -> dict[str, Any]:
        """Pause, resume, abort or undo a rollout; AgentRefusedError if that does not apply to its phase."""
        record = self.rollout_record(number)
        r, now = record.rollout, self._now()
        text = f"{action} by {who}" + (f": {reason}" if reason else "")
        phase = r.phase
        if action == "undo":
            self._undo(record, who, reason)
        elif record.queued and action == "abort":
            record.queued = False
            self._add_actions(record, r.abort(now, text))
        elif number in self._state.rollouts and action in ("pause", "resume", "abort"):
            step = {"pause": lambda: r.pause(now, text), "resume": lambda: r.resume(now),
                    "abort": lambda: r.abort(now, text)}[action]  # fmt: skip
            self._add_actions(record, step())
        if r.phase is phase:
            raise AgentRefusedError(
                "conflict", f"rollout {number} is {phase.value}: there is nothing to {action}"
            )
        self._audit.write(who, action, rollout=number, reason=reason)
        self.flush()
        return {"rollout": record.as_dict(self._now())}

    async def ask_all(self, selector: str, query: str) -> dict[str, Any]:
        """Query all instances that a selector matches; returns the answers by name, or {"error": reason}."""
        return await self.instance_requests.ask_all(self.select(selector), query)

    async def order(self, command: Command, selector: str) -> list[dict[str, Any]]:
        """Send a command, such as drain, to the instances that a selector matches; returns the results."""
        if command.action == "drain":
            self._require_not_frozen(self._parse_selector(selector), command.who)
        found = self.select(selector)
        names = [instance.name for instance in found][:1000]
        self._audit.write(command.who, command.action, selector=selector, instances=names, reason=command.why)
        return list(await asyncio.gather(*(self.instance_requests.do(instance, command) for instance in found)))

    def forget(self, who: str, name: str) -> None:
        """Delete the record of an instance; AgentRefusedError if it is unknown or connected."""
        instance = self.instances.get(name)
        if instance is None:
            raise AgentRefusedError("unknown", f"there is no instance {name}")
        if instance.connected:
            raise AgentRefusedError(
                "conflict", f"{name} is connected; only instances that are not connected can be forgotten"
            )
        for record in self._rollouts_of(instance):
            self._add_actions(record, record.rollout.on_left(self._now(), name, f"forgotten by {who}"))
        with self._store.transaction():
            self._store.forget_instance(name)
            self.orders.forget(name)
        del self.instances[name]
        self._audit.write(who, "forget", instance=name)
        self._try_to_flush()

    # --- helpers -----------------------------------------------------------------------------------

    def _require_recovered(self) -> None:
        if self._recovering():
            remaining_s = self._recover_until - self._now()
            text = f"the store is new; collecting the reports of instances for {remaining_s:.0f} s more"
            raise AgentRefusedError("recovering", text, retry_s=remaining_s)

    def _busy_error(self, blocking: list[RolloutRecord]) -> AgentRefusedError:
        first = blocking[0]
        text = (
            f"rollout {first.rollout.number} by {first.row.author} ({first.row.selector or 'all'}) is "
            f"{first.rollout.phase.value}; wait for it, abort it, or choose to queue or to supersede"
        )
        return AgentRefusedError("busy", text, rollout=first.as_dict(self._now()))

    def _overlapping(self, scope: Selector, before: int = 1 << 62) -> list[RolloutRecord]:
        """Active rollouts whose selectors may match the same instances, the oldest first."""
        found = [
            r for r in self._state.rollouts.values()
            if r.active and r.rollout.number < before and r.selector.overlaps(scope)
        ]  # fmt: skip
        return sorted(found, key=lambda r: r.rollout.number)

    def _build_member(self, instance: Instance, revision: int, wave: int) -> Member:
        target = self._store.revision(revision)
        assert target is not None
        desired = digest(target.document.effective(instance.name, instance.labels))
        before = self.drafts.desired_settings(instance).get("digest", digest({}))
        return Member(
            name=instance.name, target=desired, before=before, wave=wave, has=instance.digest,
            holds=instance.holds, connected=instance.connected, boot=instance.boot, keeps=instance.keeps,
            now=instance.totals(), base=instance.totals(), prior=instance.recent_totals(self._now()),
        )  # fmt: skip

    def _create_rollout(
        self, kind: str, revision: Revision, scope: Selector, who: str, reason: str, plan: Plan,
        instances: list[Instance],
    ) -> RolloutRecord:  # fmt: skip
        number = self._store.next_rollout()
        while number in self._state.rollouts:
            number += 1
        by_name = {i.name: i for i in instances if not i.left or i.connected}
        members = rollout.build_members(
            plan, by_name, lambda name, wave: self._build_member(by_name[name], revision.number, wave)
        )
        new = Rollout(number, kind, plan, members, self._now())
        row = RolloutRow(number, revision.number, 0, str(scope), who, reason, time.time(), {}, False)
        self._state.rollouts[number] = record = RolloutRecord(new, row, scope)
        return record

    def _start_rollout(self, record: RolloutRecord) -> None:
        now = self._now()
        self._refresh_members(record)
        for member in record.rollout.members.values():
            instance = self.instances.get(member.name)
            if instance is not None:  # the instance may have changed while the rollout was queued
                member.prior = instance.recent_totals(now)
                member.before = self.drafts.desired_settings(instance).get("digest", member.before)
        self._add_actions(record, record.rollout.start(now))

    def _refresh_members(self, record: RolloutRecord) -> None:
        """Update the members of a rollout that did not receive events while it was queued or ended."""
        for member in record.rollout.members.values():
            instance = self.instances.get(member.name)
            if instance is not None:
                member.connected, member.boot = instance.connected, instance.boot
                member.has, member.holds = instance.digest, instance.holds

    def _supersede(self, blocking: list[RolloutRecord]) -> None:
        number = self._store.next_rollout()
        for record in blocking:
            record.queued = False
            self._add_actions(record, record.rollout.supersede(self._now(), number))

    def _undo(self, record: RolloutRecord, who: str, reason: str) -> None:
        r, row = record.rollout, record.row
        if r.kind == "restart":
            raise AgentRefusedError("bad_input", "a restart cannot be undone")
        if row.undo_revision or record.queued:
            raise AgentRefusedError("conflict", f"rollout {r.number} cannot be undone: it is {r.phase.value}")
        scope = record.selector
        head, undone, parent = self._store.head(), self._store.revision(row.revision), None
        if undone is not None:
            parent = self._store.revision(undone.parent)
        if undone is None or parent is None:
            raise AgentRefusedError("unknown", f"the revision before revision {row.revision} is not known")
        self._require_undoable(head, undone, parent, scope)
        others = [x for x in self._overlapping(scope) if x is not record]
        if any(not x.queued for x in others):
            raise self._busy_error([x for x in others if not x.queued])
        head = self._store.head()
        document = head.document.with_layer(
            scope, reverted_layer(head.document, undone.document, parent.document, scope)
        )
        number = self.drafts.next_revision(head)
        text = f"undo of revision {undone.number}" + (f": {reason}" if reason else "")
        revision = Revision(number, head.number, time.time(), who, text, str(scope), document.digest(), document)
        previous_digests = {}
        for name in r.members:
            instance = self.instances.get(name)
            labels = instance.labels if instance is not None else {}
            previous_digests[name] = digest(document.effective(name, labels))
        with self._state.transaction(record, *others):
            self._state.rollouts[r.number] = record
            self._refresh_members(record)
            for queued in others:  # they are based on the revision that is undone
                queued.queued = False
                self._add_actions(queued, queued.rollout.abort(self._now(), f"rollout {r.number} was undone"))
            self._store.add_revision(revision)
            row.undo_revision, row.ended = number, False
            self._add_actions(record, r.undo(self._now(), text, previous_digests))
            self._save()  # in the same transaction as the revision

    def _require_undoable(self, head: Revision, undone: Revision, parent: Revision, scope: Selector) -> None:
        """Raise AgentRefusedError, naming the undo command to use, if a later revision changed the same keys."""
        layer, keys = undone.document.layer(scope), changed_keys(undone.document, parent.document, scope)

        def differs(other: Revision) -> bool:
            other_layer = other.document.layer(scope)
            return any(other_layer.get(key) != layer.get(key) for key in keys)

        if not differs(head):
            return
        since = self._store.revisions(after=undone.number)
        later = next(x for x in since if x.selector == str(scope) and differs(x))
        row = next((r for r in self.rollouts() if r.row.revision == later.number), None)
        remedy = f": cindersail rollout undo {row.rollout.number}" if row is not None else ""
        text = f"revision {later.number} by {later.author} has changed the same settings since; undo that first"
        raise AgentRefusedError("conflict", text + remedy, revisions=[later.as_dict()])

    def _undo_automatically(self, record: RolloutRecord, reason: str) -> None:
        record.undo_requested = False
        try:
            self._undo(record, "agent", reason)
            self._audit.write("agent", "undo", rollout=record.rollout.number, reason=reason)
        except AgentRefusedError as error:
            record.rollout.reason = f"{reason}; not undone: {error}"

    def _rollout_table(self, number: int) -> dict[str, Any] | None:
        record = self._state.rollouts.get(number)
        return record.as_dict(self._now()) if record is not None else None

    def status(self) -> dict[str, Any]:
        """A summary of the agent as JSON data."""
        active = [r for r in self._state.rollouts.values() if r.active]
        return {
            "started": self.started, "instances": len(self.instances), "head": self._store.head().number,
            "connected": sum(1 for i in self.instances.values() if i.connected),
            "active_rollouts": [r.rollout.number for r in active], "recovered": self.recovered,
            "recovering": self._recovering(), "supervised": self.supervised(),
        }  # fmt: skip


def _state_in_hello(hello: Message) -> str:
    """The state that an instance reports in its hello; an instance that was drained reconnects as drained."""
    heartbeat = hello.get("beat")
    state = heartbeat.get("state") if isinstance(heartbeat, dict) else None
    return state[:63] if isinstance(state, str) else "serving"
