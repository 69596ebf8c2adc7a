"""The decisions of one sidecar: events in, actions out. Both are defined in `covetally/interface`.

The ordinary path follows A105 (max concurrent streams). Each server has an in-flight budget of `steps` times a
learned `step_size`. A call goes to the less loaded of two random servers, by this sidecar's calls in flight; ties
go to the shorter expected time to answer. Servers at budget are redrawn. Calls wait in arrival order while all
are at budget; a waiting call may pass as a server's one probe, under a backoff that all probes of that server
share. Each departure from this path is marked "Exception" in the code and listed in docs/design.md with its
condition.
"""

from __future__ import annotations

from covetally.interface import (
    Action,
    AdmissionThreshold,
    AttemptEnded,
    ClientDisconnected,
    Event,
    PeerMessage,
    QuotaUpdate,
    RequestReceived,
    ResponseStarted,
    ServerListUpdate,
    ServerStatus,
    ServerUnresponsive,
    Settings,
    Shutdown,
    TierWarning,
    TimerFired,
    UpgradedConnections,
)
from covetally.policy.state import BalancerState
from covetally.policy.shutdown import apply_shutdown
from covetally.policy.events import drop_call, on_attempt_ended, on_request, on_timer
from covetally.policy.tenant_limits import apply_quota, demand
from covetally.policy.server_list import apply_update
from covetally.policy.attempt_rules import remember_unserved
from covetally.policy.load_shedding import overload_hold_off
from covetally.policy.estimates import apply_peer_report
from covetally.policy.outlier_detection import apply_warning, limiting_reason, mark_unresponsive


class Balancer:
    """One sidecar's balancer: a deterministic function of its clock, its seed and its events."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.state = BalancerState(settings, seed, now)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process one event at clock time `now`; return the actions to carry out, in order."""
        state = self.state
        state.actions = []
        kind = type(event)
        if kind is RequestReceived:
            on_request(state, now, event)
        elif kind is AttemptEnded:
            on_attempt_ended(state, now, event)
        elif kind is TimerFired:
            on_timer(state, now)
        elif kind is ServerListUpdate:
            apply_update(state, now, event)
        elif kind is PeerMessage:
            apply_peer_report(state, now, event)
        elif kind is ClientDisconnected:
            if event.tid in state.calls:
                remember_unserved(state, state.calls[event.tid])
            drop_call(state, event.tid)
        elif kind is ResponseStarted and event.tid in state.calls:
            state.calls[event.tid].response_started = True
        elif kind is ServerUnresponsive:
            mark_unresponsive(state, now, event)
        elif kind is UpgradedConnections and (server := state.servers.get(event.server)) is not None:
            server.upgraded = max(0, server.upgraded + event.change)
        elif kind is TierWarning:
            apply_warning(state, now, event)
        elif kind is QuotaUpdate:
            apply_quota(state, now, event)
        elif kind is AdmissionThreshold:
            state.admission, state.retry_tokens = event, min(state.retry_tokens, event.max_saved_retries)
        elif kind is Shutdown:
            apply_shutdown(state, now, event.end_ns)
        return state.actions

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings for the same classes. Keep what was learned, and the deadlines of open calls."""
        self.state.reconfigure(settings)

    @property
    def shedding(self) -> bool:
        """Whether requests that waited too long are refused, unread if possible."""
        return self.state.shedding

    @property
    def queue_age_limit(self) -> int:
        """The age beyond which a request is refused while shedding, in ns."""
        return self.state.queue_age_limit

    def overload_hold_off(self, now: int, age: int, retry: bool) -> int:
        """Return 0 if a request that need not have been read is admitted, else its hold-off in ns."""
        return overload_hold_off(self.state, now, age, retry)

    def demand(self) -> dict[tuple[int, bool], int]:
        """Return the demand since the last call, by tenant and whether the limit is on calls in flight."""
        return demand(self.state)

    def server_statuses(self, now: int) -> list[ServerStatus]:
        """Return the view of each server on the list, for operators."""
        state = self.state
        return [
            ServerStatus(
                s.name, s.up, s.steps, s.step_size, s.inflight, now - s.started if s.started > 0 else -1,
                s.probing, max(0, s.retry_at - now) if not s.steps else 0, s.failure_ratio, s.connect_failures,
                s.wait, limiting_reason(state, s, now),
            )
            for s in state.servers.values()
        ]  # fmt: skip

    def zones(self) -> dict[str, int]:
        """Return the servers that are up, with the zone of each."""
        return {s.name: s.zone for s in self.state.up}
