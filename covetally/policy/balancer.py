"""The decisions of one sidecar: events in, actions out. Both are defined in `covetally/interface.py`.

The ordinary path is the design's: each server has an in-flight budget of k steps times a learned
concurrency figure; a call goes to the less loaded of two random servers by own calls in flight, ties by
expected time to answer; servers at budget are redrawn; calls wait in order when all are full; a waiting
call may pass as the server's one trial, under a backoff shared by all trials there. Each departure is
marked "Exception" and listed in docs/design.md with the condition under which it acts.
"""

from __future__ import annotations

from covetally.interface import (
    RequestReceived,
    Action,
    TimerFired,
    QuotaUpdate,
    ResponseStarted,
    ServerStatus,
    ServerListUpdate,
    Shutdown,
    Event,
    ClientDisconnected,
    PeerMessage,
    UpgradedConnections,
    AdmissionThreshold,
    AttemptEnded,
    Settings,
    ServerUnresponsive,
    TierWarning,
)
from covetally.policy.state import BalancerState
from covetally.policy.shutdown import end_by
from covetally.policy.events import accept, alarm, drop, outcome
from covetally.policy.tenant_limits import allot, demand
from covetally.policy.server_list import apply_update
from covetally.policy.attempt_rules import remember
from covetally.policy.load_shedding import overload_hold_off
from covetally.policy.estimates import hear
from covetally.policy.outlier_detection import suspect, warn, why_less


class Balancer:
    """One sidecar's balancer: clock, seed and events in, actions out."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.state = BalancerState(settings, seed, now)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at clock time `now`; return the actions to carry out, in order."""
        state = self.state
        state.actions = []
        kind = type(event)
        if kind is RequestReceived:
            accept(state, now, event)
        elif kind is AttemptEnded:
            outcome(state, now, event)
        elif kind is TimerFired:
            alarm(state, now)
        elif kind is ServerListUpdate:
            apply_update(state, now, event)
        elif kind is PeerMessage:
            hear(state, now, event)
        elif kind is ClientDisconnected:
            if event.tid in state.calls:
                remember(state, state.calls[event.tid])
            drop(state, event.tid)
        elif kind is ResponseStarted and event.tid in state.calls:
            state.calls[event.tid].begun = True
        elif kind is ServerUnresponsive:
            suspect(state, now, event)
        elif kind is UpgradedConnections and (server := state.servers.get(event.server)) is not None:
            server.upgraded = max(0, server.upgraded + event.change)
        elif kind is TierWarning:
            warn(state, now, event)
        elif kind is QuotaUpdate:
            allot(state, now, event)
        elif kind is AdmissionThreshold:
            state.admission, state.retry_tokens = event, min(state.retry_tokens, event.max_saved_retries)
        elif kind is Shutdown:
            end_by(state, now, event.end_ns)
        return state.actions

    def reconfigure(self, settings: Settings) -> None:
        """Go on with other figures for the same classes. What was learned stays, as do open calls' deadlines."""
        self.state.reconfigure(settings)

    @property
    def shedding(self) -> bool:
        """Whether requests that waited are refused, at a overload_hold_off where that can be."""
        return self.state.shedding

    @property
    def queue_age_limit(self) -> int:
        """What has waited for longer is refused while it sheds, in ns."""
        return self.state.queue_age_limit

    def overload_hold_off(self, now: int, age: int, retry: bool) -> int:
        """Whether a request that need not be read is let in: 0, or when its client may come back, in ns."""
        return overload_hold_off(self.state, now, age, retry)

    def demand(self) -> dict[tuple[int, bool], int]:
        """By tenant and kind of limit, what was wanted since this was last read."""
        return demand(self.state)

    def server_statuses(self, now: int) -> list[ServerStatus]:
        """What is believed of each server on the list, for operators to read."""
        state = self.state
        return [
            ServerStatus(
                s.name, s.up, s.steps, s.step_size, s.inflight, now - s.started if s.started > 0 else -1,
                s.probing, max(0, s.retry_at - now) if not s.steps else 0, s.failure_ratio, s.connect_failures,
                s.wait, why_less(state, s, now),
            )
            for s in state.servers.values()
        ]  # fmt: skip

    def zones(self) -> dict[str, int]:
        """The servers up, with the zone of each."""
        return {s.name: s.zone for s in self.state.up}
