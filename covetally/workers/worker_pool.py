"""Decides which workers to start, resize, stop and kill. No I/O: the caller passes the time.

    state        meaning                                         next
    --------     -------                                         ----
    STARTING     its process has been started                    ready -> SERVING; STARTUP_TIMEOUT_S -> killed
    SERVING      it accepts requests and sends heartbeats        asked to end -> ENDING; hang_timeout_s -> killed
    ENDING       it completes the requests that it accepted      exit -> removed; shutdown_timeout_s -> killed

Each slot (0 to N - 1) has one worker, or two while its worker is being replaced:

    slot         action
    ----         ------
    empty        start a worker, after a delay if the previous one exited soon after it became ready
    replaced     start a new worker first, and end the old one once the new one is serving
    N or more    end its worker

Replacements run one slot at a time. A share is a worker's part of the limits of the whole sidecar and depends on
its slot: the shares of slots 0 to N - 1 add up to the whole. While a slot has two workers, each of them has that
share, so a replacement exceeds the limits by one share at most.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

EARLY_EXIT_S = 5.0  # the cause of an exit this soon after ready is likely to persist
MIN_RESTART_DELAY_S = 0.5  # before the next start after an early exit; doubles with each further one
MAX_RESTART_DELAY_S = 15.0
STARTUP_TIMEOUT_S = 20.0
DEFAULT_HANG_TIMEOUT_S = 5.0  # without a heartbeat, unless workers.hang_s is set


class State(enum.Enum):
    """The state of one worker; see the table above."""

    STARTING = "starting"
    SERVING = "serving"
    ENDING = "ending"


@dataclass(frozen=True, slots=True)
class Start:
    """Start a worker in a slot; `worker_id` is never reused."""

    worker_id: int
    slot: int


@dataclass(frozen=True, slots=True)
class End:
    """Ask a worker to drain and exit."""

    worker_id: int


@dataclass(frozen=True, slots=True)
class Kill:
    """Kill a worker at once; `reason` is for the log."""

    worker_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class Share:
    """Notify a worker of its slot and of the number of slots."""

    worker_id: int
    slot: int
    count: int


Action = Start | End | Kill | Share


@dataclass(slots=True)
class Worker:
    """The state of one worker. Times are in seconds, on the caller's clock."""

    worker_id: int
    slot: int
    state_since: float  # when it was started or, in ENDING, asked to end
    state: State = State.STARTING
    ready_at: float = 0.0
    last_heartbeat_at: float = 0.0
    share: tuple[int, int] | None = None  # the slot and count that it was last notified of
    killed: bool = False


@dataclass(slots=True)
class _Slot:
    restart_delay_s: float = 0.0
    not_before: float = 0.0
    replace: bool = False  # its worker is to be replaced


@dataclass(slots=True)
class WorkerPool:
    """The workers of one sidecar.

    Each event method returns the actions to take now. `next_deadline` is when to call `tick`.
    """

    count: int
    hang_timeout_s: float
    shutdown_timeout_s: float
    workers: dict[int, Worker] = field(default_factory=dict)
    unexpected_exits: int = 0
    shutting_down: bool = False
    _slots: dict[int, _Slot] = field(default_factory=dict)
    _next_worker_id: int = 0

    # --- events ---------------------------------------------------------------------------------

    def on_ready(self, now: float, worker_id: int) -> list[Action]:
        """Handle a worker's report that it accepts requests."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.last_heartbeat_at = now
            if worker.state is State.STARTING:
                worker.state, worker.ready_at = State.SERVING, now
        return self.tick(now)

    def on_heartbeat(self, now: float, worker_id: int) -> None:
        """Record a worker's heartbeat."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.last_heartbeat_at = now

    def on_exit(self, now: float, worker_id: int) -> list[Action]:
        """Handle the exit of a worker's process."""
        worker = self.workers.pop(worker_id, None)
        if worker is not None and worker.state is not State.ENDING:
            self.unexpected_exits += 1
            slot = self._slot(worker.slot)
            if worker.state is State.SERVING and now - worker.ready_at >= EARLY_EXIT_S:
                slot.restart_delay_s = 0.0
            else:
                slot.restart_delay_s = min(
                    MAX_RESTART_DELAY_S, max(MIN_RESTART_DELAY_S, 2 * slot.restart_delay_s)
                )
                slot.not_before = now + slot.restart_delay_s
        return self.tick(now)

    def resize(self, now: float, count: int) -> list[Action]:
        """Change the number of slots."""
        self.count = count
        return self.tick(now)

    def replace_all(self, now: float) -> list[Action]:
        """Replace every worker, one slot after the other."""
        for number in range(self.count):
            self._slot(number).replace = True
        return self.tick(now)

    def shut_down(self, now: float) -> list[Action]:
        """End all workers and start no more."""
        self.shutting_down = True
        return self.tick(now)

    # --- actions --------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Return the actions that are due at this time."""
        actions: list[Action] = []
        for worker in self.workers.values():
            self._check_deadline(now, worker, actions)
        if self.shutting_down:
            self._end_workers([w for w in self.workers.values()], now, actions)
            return actions
        self._end_workers([w for w in self.workers.values() if w.slot >= self.count], now, actions)
        for number in range(self.count):
            self._fill_slot(now, number, actions)
        for worker in self.workers.values():
            share = (worker.slot, self.count)
            if worker.state is State.SERVING and not worker.killed and worker.share != share:
                worker.share = share
                actions.append(Share(worker.worker_id, *share))
        return actions

    def next_deadline(self) -> float | None:
        """Return when to call `tick` next if no event comes first."""
        times = [self._deadline(w)[0] for w in self.workers.values() if not w.killed]
        if not self.shutting_down:
            filled = {w.slot for w in self.workers.values() if w.state is not State.ENDING}
            times += [s.not_before for n, s in self._slots.items() if n < self.count and n not in filled]
        return min(times, default=None)

    def serving_worker(self, slot: int) -> Worker | None:
        """Return the worker that accepts requests in a slot."""
        found = [w for w in self.workers.values() if w.slot == slot and w.state is State.SERVING]
        return found[0] if found else None

    def is_replacing(self) -> bool:
        """Return whether any slot is still waiting for its replacement."""
        return any(s.replace for n, s in self._slots.items() if n < self.count)

    def _slot(self, number: int) -> _Slot:
        return self._slots.setdefault(number, _Slot())

    def _deadline(self, worker: Worker) -> tuple[float, str]:
        """Return when to kill a worker in its current state, and the reason."""
        if worker.state is State.STARTING:
            return worker.state_since + STARTUP_TIMEOUT_S, f"was not ready within {STARTUP_TIMEOUT_S:g} s"
        if worker.state is State.ENDING:
            return (
                worker.state_since + self.shutdown_timeout_s,
                f"did not exit within {self.shutdown_timeout_s:g} s",
            )
        return (
            worker.last_heartbeat_at + self.hang_timeout_s,
            f"sent no heartbeat for {self.hang_timeout_s:g} s: it hangs",
        )

    def _check_deadline(self, now: float, worker: Worker, actions: list[Action]) -> None:
        deadline, reason = self._deadline(worker)
        if now >= deadline and not worker.killed:
            worker.killed = True
            actions.append(Kill(worker.worker_id, reason))

    def _end_workers(self, workers: list[Worker], now: float, actions: list[Action]) -> None:
        for worker in workers:
            if worker.state is not State.ENDING and not worker.killed:
                worker.state, worker.state_since = State.ENDING, now
                actions.append(End(worker.worker_id))

    def _fill_slot(self, now: float, number: int, actions: list[Action]) -> None:
        slot = self._slot(number)
        active = [w for w in self.workers.values() if w.slot == number and w.state is not State.ENDING]
        if not active:
            slot.replace = False
            if now >= slot.not_before:
                self._start_worker(now, number, actions)
        elif slot.replace:
            old, *new = active
            if new and new[0].state is State.SERVING:
                slot.replace = False
                self._end_workers([old], now, actions)
            elif not new and old.state is State.SERVING and now >= slot.not_before and self._all_serving():
                self._start_worker(now, number, actions)

    def _all_serving(self) -> bool:
        """Return whether no worker is starting or ending, so that the next replacement may begin."""
        return all(w.state is State.SERVING for w in self.workers.values())

    def _start_worker(self, now: float, slot: int, actions: list[Action]) -> None:
        worker_id, self._next_worker_id = self._next_worker_id, self._next_worker_id + 1
        self.workers[worker_id] = Worker(worker_id, slot, now, share=(slot, self.count))
        actions.append(Start(worker_id, slot))


def share_of(total: int, slot: int, count: int, minimum: int = 1) -> int:
    """Return a slot's share of a total.

    The shares of all slots add up to the total unless `minimum` raises one of them.
    """
    return max(minimum, total // count + (slot < total % count))
