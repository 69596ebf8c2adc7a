"""The agent: puts the store, the links and the rollouts together and carries out what they decide.

Everything that happens is first taken in by the modules without I/O, then written to the store in one
transaction, and only then sent. So an agent that is killed at any moment has told nobody what its store does not
say, and after its next start asks each instance what it has.
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
from covetally.fleet.asks import PING_S, Asks
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

KEEP_AGAIN_S = 0.5  # until what the disk did not take is written again
BATCH_S = 0.005  # what happens within so long is written in one transaction
RECOVER_S = 10.0  # an agent whose store is new listens so long for what instances have
MAX_ENDED = 50  # ended rollouts that are kept in memory, for those that come back late


class Agent:
    """One agent over one store."""

    def __init__(
        self,
        store: Store,
        audit: Audit,
        admits: Callable[[str, str], bool] | None = None,
        recover_s: float = RECOVER_S,
    ) -> None:
        self._store, self._audit = store, audit
        self._recover_s = recover_s
        self._admits = admits
        self.instances: dict[str, Instance] = {
            name: registry.from_row(name, row) for name, row in store.instances().items()
        }
        self._outbox: list[
            tuple[RolloutRecord, Send | Restart]
        ] = []  # to be carried out once the store has it all
        self._cannot_keep = False  # the disk did not take what was last written
        self._flush_timer: asyncio.TimerHandle | None = None
        self._tick_timer: asyncio.TimerHandle | None = None
        self.supervised: Callable[[], list[dict[str, Any]]] = list
        self.watchers = Watchers(self._rollout_table)
        self._state = AgentState(store, self.instances, self.watchers.changed)
        self.started = time.time()
        self._recover_until = 0.0
        self.recovered = store.get("recovered") == "yes"
        self.freezes = Freezes(store.get("freezes"))
        self.clock = SteadyClock(store.get("clock"))
        self._keep_clock()
        self.orders = DesiredOrders(store)
        self.asks = Asks(self.instances, self.orders, self.clock)
        self.drafts = Drafts(store, self.instances, self.asks)
        self.drains = Drains(store, self.asks, audit.write, self.clock)
        self._opened = False

    def _keep_clock(self) -> None:
        with self._store.transaction():
            self._store.set("clock", self.clock.to_json())

    # --- beginning and end ----------------------------------------------------------------------

    def open(self) -> None:
        """Go on from the store. Call it in the running loop, before anybody is let in."""
        now = self._now()
        if self._store.new and self._recover_s > 0:
            self._recover_until = now + self._recover_s
            asyncio.get_running_loop().call_later(self._recover_s, self._recover)
        for row in reversed(self._store.rollouts(limit=MAX_ENDED)):
            found = rollout.from_rows(row.number, row.head, self._store.members(row.number), now)
            queued = bool(row.head.get("queued"))
            self._state.rollouts[row.number] = RolloutRecord(found, row, parse(row.selector), queued)
        for running in list(self._state.rollouts.values()):
            if running.active and not running.queued:
                self._do(running, running.rollout.start(now))
        self._opened = True
        self.drains.open()
        self._audit.write("agent", "start", revision=self._store.head().number)
        self._try_to_flush()

    def close(self) -> None:
        """Write what is not written."""
        self.drains.close()
        self._try_to_flush()
        for timer in (self._flush_timer, self._tick_timer, self.watchers.timer):
            if timer is not None:
                timer.cancel()

    def _now(self) -> float:
        return time.monotonic()

    # --- instances: Owner's side of links --------------------------------------------------------

    def admit(self, link: Link, hello: Message) -> str | None:
        """See `links.Owner`."""
        if link.tcp and (self._admits is None or not self._admits(str(hello.get("token", "")), link.name)):
            return "its token does not let it in under this name"
        known = self.instances.get(link.name)
        if known is not None and known.link is not None and not known.link.closed:
            if known.boot == hello["boot"]:
                known.link.end("the instance has dialled again")
            else:
                # Two that claim one name, or one whose old link is dead without a sign: the old one is asked.
                asyncio.get_running_loop().create_task(self._contest(known, link))
                return None
        self._let_in(link)
        return None

    async def _contest(self, known: Instance, link: Link) -> None:
        old = known.link
        try:
            await self.asks.ask_link(known, {"t": "ask", "what": "ping"}, PING_S)
        except AgentRefusedError:
            if old is not None:
                old.end("silent while another came under its name")
            if not link.closed:
                self._let_in(link)
            return
        self._audit.write(link.name, "denied", why="the name is in use", pid=link.hello.get("pid"))
        link.deny(f"the name {link.name} is in use by pid {known.pid}, which answers")

    def _let_in(self, link: Link) -> None:
        hello = link.hello
        instance = self.instances.get(link.name)
        if instance is None:
            instance = self.instances[link.name] = Instance(link.name)
        old, instance.link = instance.link, link
        if old is not None and not old.closed:
            old.end("another link of the same instance")
        instance.labels = registry.valid_labels(hello["labels"])
        instance.boot, instance.pid, instance.version = hello["boot"], hello["pid"], hello["version"][:63]
        instance.revision, instance.values = hello["revision"], hello["values"]
        instance.keeps, instance.may_restart = bool(hello.get("keeps")), bool(hello.get("may_restart"))
        instance.left, instance.note = "", ""
        instance.history.clear()
        instance.assigned_digest = (-1, "")  # its labels may be others
        instance.last_offered = ("", "")
        pending = str(hello.get("pending", ""))
        beat = {"digest": hello["digest"], "pending": pending, "counts": {}, "state": _state_of(hello)}
        instance.record_heartbeat(self._now(), self.clock.now(), beat)
        self.orders.reconcile(instance.name, hello.get("orders"), self.clock.now())
        link.welcome(self.orders.desired(instance.name))
        self._state.unsaved_instances.add(instance.name)
        epoch = hello.get("epoch")
        self.drains.observe_epoch(epoch if isinstance(epoch, int) else 0)
        failed, reason = str(hello.get("failed", "")), str(hello.get("reason", ""))[:500]
        for running in self._state.rollouts.values():
            if instance.name in running.rollout.members and not running.queued:
                actions = running.rollout.on_connected(
                    self._now(), instance.name, instance.boot, instance.digest, instance.holds, failed, reason
                )
                self._do(running, actions)
        self._place(instance, failed, reason)
        self.watchers.tell({"instance": instance.name, "connected": True})

    def received(self, link: Link, message: Message) -> None:
        """See `links.Owner`."""
        instance = self.instances.get(link.name)
        if instance is None or instance.link is not link:
            return
        now = self._now()
        match message["t"]:
            case "beat":
                instance.record_heartbeat(now, self.clock.now(), message)
                link.send({"t": "seen"})
                self._compare_orders(instance, message)
                for running in self._of(instance):
                    totals = instance.totals()
                    self._do(
                        running,
                        running.rollout.on_heartbeat(
                            now, instance.name, instance.digest, instance.holds, *totals
                        ),
                    )
                self._place(instance)
            case "ack":
                self._acked(instance, message)
            case "answer":
                self.asks.answered(instance.name, message)
            case "bye":
                instance.left = str(message["reason"])[:200] or "ended"
                for running in self._of(instance):
                    self._do(running, running.rollout.on_left(now, instance.name, instance.left))
                self._state.unsaved_instances.add(instance.name)
                self._soon()

    def _compare_orders(self, instance: Instance, beat: Message) -> None:
        """Tell an instance again what is wanted of it, where its heartbeat shows that it holds something else."""
        held = beat.get("orders")
        if isinstance(held, int):
            self.asks.restore(instance, held)
        elif self.orders.desired(instance.name).draining and beat["state"] == "serving":
            self.asks.restore(instance, 0)  # of a version that keeps no orders

    def _acked(self, instance: Instance, message: Message) -> None:
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
        for running in self._of(instance):
            actions = running.rollout.on_answer(
                self._now(), instance.name, offered, outcome, instance.digest, errors, keys, instance.keeps
            )
            self._do(running, actions)
        self._soon()

    def ended(self, link: Link, reason: str) -> None:
        """See `links.Owner`."""
        instance = self.instances.get(link.name)
        if instance is None or instance.link is not link:
            return
        instance.link = None
        for running in self._of(instance):
            self._do(running, running.rollout.on_connection_lost(self._now(), instance.name, reason))
        self._state.unsaved_instances.add(instance.name)
        self._soon()
        self.watchers.tell({"instance": instance.name, "connected": False, "reason": reason})

    def _of(self, instance: Instance) -> list[RolloutRecord]:
        """The rollouts that an instance is in and that may still have to know of it."""
        return [r for r in self._state.rollouts.values() if not r.queued and instance.name in r.rollout.members]

    # --- what an instance in no rollout is to have -------------------------------------------------

    def _place(self, instance: Instance, failed: str = "", reason: str = "") -> None:
        """Bring an instance that no rollout is at work on to what it was last told, or join it to one."""
        if not self._opened or self._recovering() or not instance.connected:
            return
        if instance.assigned < 0:
            instance.assigned = self._state.default_revision
            self._state.unsaved_instances.add(instance.name)
            for running in list(self._state.rollouts.values()):
                r, meant = running.rollout, running.selector.matches(instance.name, instance.labels)
                going = running.active and not running.queued and r.phase is not Phase.UNDOING
                if going and r.kind == "change" and meant:
                    self._do(running, r.add_member(self._now(), self._member(instance, running.row.revision, 0)))
        if any(r.active and instance.name in r.rollout.members for r in self._state.rollouts.values()):
            return
        if instance.assigned_digest[0] != instance.assigned:
            instance.assigned_digest = (
                instance.assigned,
                str(self.drafts.desired_settings(instance).get("digest", "")),
            )
        wanted = instance.assigned_digest[1]
        if wanted == failed:
            instance.note = f"revision {instance.assigned}: {reason}"
            self._state.unsaved_instances.add(instance.name)
            instance.last_answered = (instance.boot, wanted)
        if not wanted:
            return
        if instance.digest == wanted and not instance.holds:
            if instance.note and not failed:
                instance.note = ""
                self._state.unsaved_instances.add(instance.name)
                self._soon()
            return
        if (instance.boot, wanted) in (instance.last_offered, instance.last_answered):
            return  # once to each link; and what this process refused, or waits with, it would refuse again
        instance.last_offered = (instance.boot, wanted)
        log.info("%s is brought to revision %d", instance.name, instance.assigned)
        self._offer(instance, instance.assigned)

    # --- recovery of a lost store -----------------------------------------------------------------

    def _recovering(self) -> bool:
        return self._now() < self._recover_until

    def _recover(self) -> None:
        """The store was new: what instances report becomes the desired state."""
        reports = [i for i in self.instances.values() if i.connected and i.revision > 0]
        if reports and self._store.head().number == 0:
            try:
                self._recover_from(reports)
            except CannotKeepError as error:  # nobody may change anything until it is kept
                log.error("%s", error.as_line())
                self._recover_until = self._now() + KEEP_AGAIN_S
                asyncio.get_running_loop().call_later(KEEP_AGAIN_S, self._recover)
                return
        self._recover_until = 0.0
        for instance in list(self.instances.values()):
            self._place(instance)
        self._try_to_flush()

    def _recover_from(self, reports: list[Instance]) -> None:
        number = max(instance.revision for instance in reports)
        made = recovered_document(reports)
        text = f"recovered from what {len(reports)} instances reported"
        revision = Revision(number, 0, time.time(), "agent", text, "", made.digest(), made)
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

    # --- carrying out -----------------------------------------------------------------------------

    def _do(self, running: RolloutRecord, actions: list[Any]) -> None:
        self._state.pending_actions += [(running, action) for action in actions]
        running.undo_requested |= any(isinstance(action, UndoRequested) for action in actions)
        if actions or running.rollout.unsaved_members:
            self._soon()

    def _soon(self) -> None:
        if self._flush_timer is None:
            self._flush_timer = asyncio.get_running_loop().call_later(BATCH_S, self._try_to_flush)

    def _try_to_flush(self) -> None:
        """As `flush`, where nobody waits for it: it is tried again until the disk takes what there is."""
        with contextlib.suppress(CannotKeepError):
            self.flush()

    def flush(self) -> None:
        """Write all that has changed, then carry out what was decided.

        CannotKeepError where the disk does not take it: nothing is carried out, and all of it is written with the
        next try.
        """
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        try:
            self._decide()
            with self._store.transaction():
                self._save()
        except CannotKeepError as error:
            if not self._cannot_keep:
                log.error("%s", error.as_line())
            self._cannot_keep = True
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(KEEP_AGAIN_S, self._try_to_flush)
            raise
        if self._cannot_keep:
            log.info("the store takes what is written again")
        self._cannot_keep = False
        ready, self._outbox = self._outbox, []
        for running, action in ready:
            self._carry_out(running, action)
        self._arm()

    def _decide(self) -> None:
        """What follows from what has happened: instances to be told something, rollouts that end or begin."""
        self._ended_ones()
        while self._state.pending_actions:
            running, action = self._state.pending_actions[0]
            if isinstance(action, UndoRequested):
                self._undo_by_itself(running, action.reason)  # it stays to be done where it cannot be kept
                self._state.pending_actions.remove((running, action))
            else:
                self._state.pending_actions.pop(0)
                self._outbox.append((running, action))
                if isinstance(action, Send) and action.name in self.instances:
                    row = running.row
                    assigned = row.undo_revision if action.undo else row.revision
                    self.instances[action.name].assigned = assigned
                    self._state.unsaved_instances.add(action.name)
            if not self._state.pending_actions:
                self._ended_ones()

    def _save(self) -> None:
        self._state.save(self._now())

    def _carry_out(self, running: RolloutRecord, action: Send | Restart) -> None:
        instance = self.instances.get(action.name)
        if instance is None:
            return
        if isinstance(action, Restart):
            asyncio.get_running_loop().create_task(self._restart(running, instance))
            return
        self._offer(instance, running.row.undo_revision if action.undo else running.row.revision)

    def _offer(self, instance: Instance, number: int) -> None:
        """Send an instance what a revision means for it."""
        revision = self._store.revision(number)
        if revision is not None and instance.link is not None:
            values = revision.document.effective(instance.name, instance.labels)
            instance.link.send({"t": "apply", "revision": number, "digest": digest(values), "values": values})

    async def _restart(self, running: RolloutRecord, instance: Instance) -> None:
        if self.asks.restarter(instance.name):
            return
        try:
            answer = await self.asks.ask_link(instance, {"t": "do", "what": "restart"})
            denied = str(answer.get("error", ""))
        except AgentRefusedError:
            return  # its deadline, or its next hello, will tell
        if denied:
            self._do(running, running.rollout.on_restart_refused(self._now(), instance.name, denied))

    def _arm(self) -> None:
        if self._tick_timer is not None:
            self._tick_timer.cancel()
            self._tick_timer = None
        now = self._now()
        dues = [
            d
            for r in self._state.rollouts.values()
            if not r.queued and (d := r.rollout.next_due(now)) is not None
        ]
        if dues:
            self._tick_timer = asyncio.get_running_loop().call_later(max(0.01, min(dues)), self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        now = self._now()
        for running in list(self._state.rollouts.values()):
            if running.active and not running.queued:
                self._do(running, running.rollout.tick(now))
        self._try_to_flush()

    def _ended_ones(self) -> None:
        """Draw the line under rollouts that have ended, and begin those that waited for them."""
        for running in list(self._state.rollouts.values()):
            r, row = running.rollout, running.row
            if running.queued or not r.ended or row.ended:
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
        old = [n for n, r in self._state.rollouts.items() if not r.active]
        for number in old[:-MAX_ENDED]:
            del self._state.rollouts[number]
        for running in list(self._state.rollouts.values()):
            if running.queued and not self._overlapping(running.selector, running.rollout.number):
                running.queued = False
                self._begin(running)

    # --- what operators ask for --------------------------------------------------------------------

    def select(self, text: str) -> list[Instance]:
        """The instances that a selector means, by name; AgentRefusedError if it is none."""
        selector = self._selector(text)
        found = [i for i in self.instances.values() if selector.matches(i.name, i.labels)]
        return sorted(found, key=lambda i: i.name)

    def _selector(self, text: str) -> Selector:
        try:
            return parse(text)
        except ValueError as error:
            raise AgentRefusedError("bad_input", str(error)) from None

    def head(self) -> Revision:
        """The newest revision."""
        return self._store.head()

    def revision(self, number: int) -> Revision:
        """One revision; AgentRefusedError if there is none."""
        found = self._store.revision(number)
        if found is None:
            raise AgentRefusedError("unknown", f"there is no revision {number}")
        return found

    def revisions(self) -> list[Revision]:
        """All revisions, the newest first."""
        return self._store.revisions()

    def rollouts(self) -> list[RolloutRecord]:
        """Those in memory, the newest first."""
        return sorted(self._state.rollouts.values(), key=lambda r: -r.rollout.number)

    def running(self, number: int) -> RolloutRecord:
        """One rollout, from the store if it is old; AgentRefusedError if there is none."""
        if number in self._state.rollouts:
            return self._state.rollouts[number]
        row = self._store.rollout(number)
        if row is None:
            raise AgentRefusedError("unknown", f"there is no rollout {number}")
        found = rollout.from_rows(number, row.head, self._store.members(number), self._now())
        return RolloutRecord(found, row, parse(row.selector))

    def tell_time(self) -> float:
        """The clock that rollouts run by."""
        return self._now()

    def draft(
        self, who: str, parent: int, reason: str, selector: str, put: Mapping[str, Any] | None,
        set_: Mapping[str, Any], unset: list[str],
    ) -> Draft:  # fmt: skip
        """See `Drafts.draft`; AgentRefusedError while the agent recovers, too."""
        self._ready()
        return self.drafts.draft(who, parent, reason, self._selector(selector), put, set_, unset)

    def change(self, draft: Draft, who: str, reason: str, plan: Plan, overlap: str) -> dict[str, Any]:
        """Write a draft as a revision and roll it out; AgentRefusedError if somebody was first, or a rollout
        is in its way."""
        self._ready()
        self._not_frozen(draft.selector, who)
        revision, meant, changes, affected = draft.revision, draft.selector, draft.changes, draft.affected
        if revision.parent != self._store.head().number:  # while the instances were asked
            raise self.drafts.conflict(revision.parent, self._store.head())
        blocking = self._overlapping(meant)
        if blocking and overlap == "refuse":
            raise self._busy(blocking)
        with self._state.transaction(*blocking):
            self._store.add_revision(revision)
            if overlap == "supersede":
                self._supersede(blocking)
            running = self._make("change", revision, meant, who, reason, plan, affected)
            if blocking and overlap == "queue":
                running.queued = True
            else:
                self._begin(running)
            self._save()  # with its revision, or not at all
        number = revision.number
        done = {"revision": number, "rollout": running.rollout.number, "changes": changes, "reason": reason}
        self._audit.write(who, "change", **done)
        self._try_to_flush()  # the revision and its rollout are kept already
        return {"revision": number, "rollout": running.as_dict(self._now()), "changes": changes}

    def restart(self, who: str, reason: str, selector: str, plan: Plan, dry_run: bool) -> dict[str, Any]:
        """Roll a restart out; AgentRefusedError if that cannot be."""
        self._ready()
        meant = self._selector(selector)
        found = self.select(selector)
        if not found:
            raise AgentRefusedError("unknown", f"no instance is meant by {selector!r}")
        if not dry_run:
            self._not_frozen(meant, who)
        if dry_run:
            return {"dry_run": True, "would": [{"name": i.name, "connected": i.connected} for i in found]}
        blocking = self._overlapping(meant)
        if blocking:
            raise self._busy(blocking)
        with self._state.transaction():
            running = self._make("restart", self._store.head(), meant, who, reason, plan, found)
            self._begin(running)
            self._save()
        self._audit.write(who, "restart", rollout=running.rollout.number, selector=str(meant), reason=reason)
        self._try_to_flush()
        return {"rollout": running.as_dict(self._now())}

    def start_drain(self, who: str, wanted: DrainRequest, reason: str, selector: str) -> dict[str, Any]:
        """Begin a drain order; AgentRefusedError, or an error of `drainplan`, if that cannot be."""
        self._ready()
        meant = self._selector(selector)
        self._not_frozen(meant, who)
        if blocking := self._overlapping(meant):
            raise self._busy(blocking)
        return self.drains.start(wanted, who, reason)

    def freeze(self, who: str, for_s: float, selector: str, reason: str, through: str) -> dict[str, Any]:
        """Begin nothing planned for what is meant, for so long; durable before it is answered."""
        self._ready()
        self._selector(selector)
        with self._freezes_kept():
            made = self.freezes.add(selector, self.clock.now(), for_s, who, reason, through)
        self._audit.write(who, "freeze", freeze=made.number, selector=made.selector, for_s=for_s, reason=reason)
        return self.freezes.as_dicts(self.clock.now())[0]

    def thaw(self, who: str, number: int) -> dict[str, Any]:
        """End a freeze; AgentRefusedError if it is not in force."""
        with self._freezes_kept():
            if self.freezes.lift(number, self.clock.now(), who) is None:
                raise AgentRefusedError("unknown", f"no freeze {number} is in force")
        self._audit.write(who, "thaw", freeze=number)
        return next(row for row in self.freezes.as_dicts(self.clock.now()) if row["number"] == number)

    @contextlib.contextmanager
    def _freezes_kept(self) -> Iterator[None]:
        """Freezes that change in it are on disk after it; CannotKeepError, and as they were, if not."""
        before = self.freezes.to_json()
        try:
            with self._store.transaction():
                yield
                self._store.set("freezes", self.freezes.to_json())
                self._keep_clock()
        except CannotKeepError:
            self.freezes = Freezes(before)
            raise

    def _not_frozen(self, meant: Selector, who: str) -> None:
        freeze = self.freezes.find_blocking(meant, who, self.clock.now())
        if freeze is not None:
            raise AgentRefusedError(
                "busy", f"{freeze.describe(self.clock.now())}: cindersail freeze lift {freeze.number}"
            )

    def steer(self, who: str, number: int, what: str, reason: str) -> dict[str, Any]:
        """Pause, resume, abort or undo a rollout; AgentRefusedError where that means nothing."""
        running = self.running(number)
        r, now = running.rollout, self._now()
        text = f"{what} by {who}" + (f": {reason}" if reason else "")
        phase = r.phase
        if what == "undo":
            self._undo(running, who, reason)
        elif running.queued and what == "abort":
            running.queued = False
            self._do(running, r.abort(now, text))
        elif number in self._state.rollouts and what in ("pause", "resume", "abort"):
            step = {"pause": lambda: r.pause(now, text), "resume": lambda: r.resume(now),
                    "abort": lambda: r.abort(now, text)}[what]  # fmt: skip
            self._do(running, step())
        if r.phase is phase:
            raise AgentRefusedError("conflict", f"rollout {number} is {phase.value}: there is nothing to {what}")
        self._audit.write(who, what, rollout=number, reason=reason)
        self.flush()
        return {"rollout": running.as_dict(self._now())}

    async def ask_all(self, selector: str, what: str) -> dict[str, Any]:
        """Ask all that a selector means; by name what each answered, or {"error": why it did not}."""
        return await self.asks.ask_all(self.select(selector), what)

    async def order(self, command: Command, selector: str) -> list[dict[str, Any]]:
        """Drain or resume instances, or order their rosters; what each answered."""
        if command.action == "drain":
            self._not_frozen(self._selector(selector), command.who)
        found = self.select(selector)
        names = [instance.name for instance in found][:1000]
        self._audit.write(command.who, command.action, selector=selector, instances=names, reason=command.why)
        return list(await asyncio.gather(*(self.asks.do(instance, command) for instance in found)))

    def forget(self, who: str, name: str) -> None:
        """Know nothing more of an instance that is away; AgentRefusedError if it is not."""
        instance = self.instances.get(name)
        if instance is None:
            raise AgentRefusedError("unknown", f"there is no instance {name}")
        if instance.connected:
            raise AgentRefusedError("conflict", f"{name} is connected: what is there cannot be forgotten")
        for running in self._of(instance):
            self._do(running, running.rollout.on_left(self._now(), name, f"forgotten by {who}"))
        with self._store.transaction():
            self._store.forget_instance(name)
            self.orders.forget(name)
        del self.instances[name]
        self._audit.write(who, "forget", instance=name)
        self._try_to_flush()

    # --- their parts -------------------------------------------------------------------------------

    def _ready(self) -> None:
        if self._recovering():
            left = self._recover_until - self._now()
            text = f"the store is new; instances are heard for {left:.0f} s more"
            raise AgentRefusedError("recovering", text, retry_s=left)

    def _busy(self, blocking: list[RolloutRecord]) -> AgentRefusedError:
        first = blocking[0]
        text = (
            f"rollout {first.rollout.number} by {first.row.author} ({first.row.selector or 'all'}) is "
            f"{first.rollout.phase.value}; wait for it, abort it, or ask to queue or to supersede"
        )
        return AgentRefusedError("busy", text, rollout=first.as_dict(self._now()))

    def _overlapping(self, meant: Selector, before: int = 1 << 62) -> list[RolloutRecord]:
        """Rollouts that have not ended and may mean the same instances, the oldest first."""
        found = [
            r for r in self._state.rollouts.values()
            if r.active and r.rollout.number < before and r.selector.overlaps(meant)
        ]  # fmt: skip
        return sorted(found, key=lambda r: r.rollout.number)

    def _member(self, instance: Instance, revision: int, wave: int) -> Member:
        target = self._store.revision(revision)
        assert target is not None
        wanted = digest(target.document.effective(instance.name, instance.labels))
        before = self.drafts.desired_settings(instance).get("digest", digest({}))
        return Member(
            name=instance.name, target=wanted, before=before, wave=wave, has=instance.digest,
            holds=instance.holds, connected=instance.connected, boot=instance.boot, keeps=instance.keeps,
            now=instance.totals(), base=instance.totals(), prior=instance.recent_totals(self._now()),
        )  # fmt: skip

    def _make(
        self, kind: str, revision: Revision, meant: Selector, who: str, reason: str, plan: Plan,
        instances: list[Instance],
    ) -> RolloutRecord:  # fmt: skip
        number = self._store.next_rollout()
        while number in self._state.rollouts:
            number += 1
        by_name = {i.name: i for i in instances if not i.left or i.connected}
        members = rollout.build_members(
            plan, by_name, lambda name, wave: self._member(by_name[name], revision.number, wave)
        )
        made = Rollout(number, kind, plan, members, self._now())
        row = RolloutRow(number, revision.number, 0, str(meant), who, reason, time.time(), {}, False)
        self._state.rollouts[number] = running = RolloutRecord(made, row, meant)
        return running

    def _begin(self, running: RolloutRecord) -> None:
        now = self._now()
        self._refresh(running)
        for member in running.rollout.members.values():
            instance = self.instances.get(member.name)
            if instance is not None:  # a queued one begins later than it was made
                member.prior = instance.recent_totals(now)
                member.before = self.drafts.desired_settings(instance).get("digest", member.before)
        self._do(running, running.rollout.start(now))

    def _refresh(self, running: RolloutRecord) -> None:
        """Let a rollout that has not been listening know how its members are."""
        for member in running.rollout.members.values():
            instance = self.instances.get(member.name)
            if instance is not None:
                member.connected, member.boot = instance.connected, instance.boot
                member.has, member.holds = instance.digest, instance.holds

    def _supersede(self, blocking: list[RolloutRecord]) -> None:
        number = self._store.next_rollout()
        for running in blocking:
            running.queued = False
            self._do(running, running.rollout.supersede(self._now(), number))

    def _undo(self, running: RolloutRecord, who: str, reason: str) -> None:
        r, row = running.rollout, running.row
        if r.kind == "restart":
            raise AgentRefusedError("bad_input", "a restart cannot be undone")
        if row.undo_revision or running.queued:
            raise AgentRefusedError("conflict", f"rollout {r.number} cannot be undone: it is {r.phase.value}")
        meant = running.selector
        head, mine, parent = self._store.head(), self._store.revision(row.revision), None
        if mine is not None:
            parent = self._store.revision(mine.parent)
        if mine is None or parent is None:
            raise AgentRefusedError("unknown", f"what was before revision {row.revision} is not known")
        self._may_take_back(head, mine, parent, meant)
        others = [x for x in self._overlapping(meant) if x is not running]
        if any(not x.queued for x in others):
            raise self._busy([x for x in others if not x.queued])
        head = self._store.head()
        made = head.document.with_layer(
            meant, reverted_layer(head.document, mine.document, parent.document, meant)
        )
        number = self.drafts.next_revision(head)
        text = f"undo of revision {mine.number}" + (f": {reason}" if reason else "")
        revision = Revision(number, head.number, time.time(), who, text, str(meant), made.digest(), made)
        previous_digests = {}
        for name in r.members:
            instance = self.instances.get(name)
            labels = instance.labels if instance is not None else {}
            previous_digests[name] = digest(made.effective(name, labels))
        with self._state.transaction(running, *others):
            self._state.rollouts[r.number] = running
            self._refresh(running)
            for queued in others:  # they were built on what is taken back
                queued.queued = False
                self._do(queued, queued.rollout.abort(self._now(), f"rollout {r.number} was undone"))
            self._store.add_revision(revision)
            row.undo_revision, row.ended = number, False
            self._do(running, r.undo(self._now(), text, previous_digests))
            self._save()  # with its revision, or not at all

    def _may_take_back(self, head: Revision, mine: Revision, parent: Revision, meant: Selector) -> None:
        """AgentRefusedError, with the command that helps, where a later revision has changed the same keys."""
        layer, keys = mine.document.layer(meant), changed_keys(mine.document, parent.document, meant)

        def differs(other: Revision) -> bool:
            theirs = other.document.layer(meant)
            return any(theirs.get(key) != layer.get(key) for key in keys)

        if not differs(head):
            return
        since = self._store.revisions(after=mine.number)
        later = next(x for x in since if x.selector == str(meant) and differs(x))
        row = next((r for r in self.rollouts() if r.row.revision == later.number), None)
        remedy = f": cindersail rollout undo {row.rollout.number}" if row is not None else ""
        text = f"revision {later.number} by {later.author} has changed the same settings since; undo that first"
        raise AgentRefusedError("conflict", text + remedy, revisions=[later.as_dict()])

    def _undo_by_itself(self, running: RolloutRecord, reason: str) -> None:
        running.undo_requested = False
        try:
            self._undo(running, "agent", reason)
            self._audit.write("agent", "undo", rollout=running.rollout.number, reason=reason)
        except AgentRefusedError as error:
            running.rollout.reason = f"{reason}; not undone: {error}"

    def _rollout_table(self, number: int) -> dict[str, Any] | None:
        running = self._state.rollouts.get(number)
        return running.as_dict(self._now()) if running is not None else None

    def status(self) -> dict[str, Any]:
        """The agent in a few figures."""
        active = [r for r in self._state.rollouts.values() if r.active]
        return {
            "started": self.started, "instances": len(self.instances), "head": self._store.head().number,
            "connected": sum(1 for i in self.instances.values() if i.connected),
            "active_rollouts": [r.rollout.number for r in active], "recovered": self.recovered,
            "recovering": self._recovering(), "supervised": self.supervised(),
        }  # fmt: skip


def _state_of(hello: Message) -> str:
    """The state that an instance says it is in as it comes: one that was drained before comes back drained."""
    beat = hello.get("beat")
    state = beat.get("state") if isinstance(beat, dict) else None
    return state[:63] if isinstance(state, str) else "serving"
