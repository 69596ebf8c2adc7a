"""Estimates of service times and waits, from responses, timeouts, load reports and peers."""

from __future__ import annotations

from struct import Struct
from zlib import crc32

from covetally.interface import AttemptEnded, PeerMessage, SendToPeer
from covetally.policy.state import BalancerState
from covetally.policy.calls import Attempt, Call
from covetally.policy.constants import GAIN, ISOLATED_FAILURE_RATIO, OK, TIMEOUT
from covetally.policy.server import Server

MAX_PEERS_PER_OUTCOME = 4
PEER_REPORT = Struct(">IHH")  # hash of the server's name, its wait, its service time
PEER_REPORT_UNIT_NS = 100_000  # unit of the times in a peer report
MAX_PLAUSIBLE = 1e13  # reported times in ns, and queue lengths, are ignored from this value on


def record_response(state: BalancerState, now: int, attempt: Attempt, event: AttemptEnded) -> None:
    """Update the estimates of the server, its kind and the class from the result of an attempt."""
    server, load, latency = attempt.server, event.load, event.latency_ns
    observed = server.observed_at > 0
    warmth = warm_share(state, server, now)
    wait = reported_wait(state, load) if load else None
    if wait is not None:
        server.wait = wait
        record_wait(state, now, wait, warmth < 1.0)
    elif event.status == OK:
        server.wait *= 1.0 - GAIN  # without reports, only this makes the wait learned from a timeout decay
    service_time = 0.0
    if load:
        report = load.get("latency_ms", 0.0) * 1e6
        if 0 < report < MAX_PLAUSIBLE:
            # The latency that a server reports includes its queue, and the wait is accounted for separately.
            service_time = max(report - (wait or 0.0), report / 4)
            sample = service_time / state.mean_size
            server.service_ratio += (sample - server.service_ratio) * (GAIN if observed else 1.0)
            observed = True
        server.observed_at = now
    if event.status == OK and latency > 0:
        size, number, class_means = attempt.size, attempt.cls, state.class_service_ns
        service = max(latency - server.wait, latency / 4) if "queue" in load else latency
        weight = GAIN * min(2.0, size / class_means[number])
        sample = service / size
        old = server.service_ratio if observed else ratio_of_kind(state, server) / warmth
        server.service_ratio = old + (sample - old) * weight
        server.observed_at = now
        # The means for other servers are of the work of a warm server without its queue. A report with both times
        # of the same moment is more accurate than this call.
        sample = (service_time / state.mean_size if service_time and wait is not None else sample) * warmth
        all_servers = state.service_ratio
        state.service_ratio = all_servers = all_servers + (sample - all_servers) * weight / 8
        kind = state.ratio_by_kind.get(server.kind, all_servers)
        state.ratio_by_kind[server.kind] = kind + (sample - kind) * weight / 4
        if not wait:
            class_means[number] += (service * warmth / all_servers - class_means[number]) * GAIN / 8
        server.timeout_ratio *= 1.0 - GAIN
    elif event.status == TIMEOUT and state.high_traffic and server.timeout_ratio < ISOLATED_FAILURE_RATIO:
        # As for "isolated failure": a response can get lost without any queue, and more calls will soon tell.
        server.timeout_ratio += (1.0 - server.timeout_ratio) * GAIN
    elif event.status == TIMEOUT and latency > 0:
        # The wait was at least as long as the call's, even if no report shows it yet.
        waited = latency - attempt.size * ratio_of_kind(state, server) / warmth
        server.wait = max(server.wait, waited)
        server.observed_at = now
        if waited > 0:
            # The full wait was longer by an unknown time, for which the mean is added. Without it, a wait cut
            # short by timeouts would make queues look shorter the more calls time out in them.
            cold = warmth < 1.0
            record_wait(state, now, waited + mean_wait(state, now, cold), cold)
        kind, sample = ratio_of_kind(state, server), latency / attempt.size * warmth
        # Else only the calls in time would count for slow kinds.
        if sample > kind and len(state.settings.kinds) > 1:
            state.ratio_by_kind[server.kind] = kind + (sample - kind) * GAIN / 4


def report_to_peers(state: BalancerState, server: Server) -> None:
    """Exception "peer report": send a server's wait and service time to a few random peers.

    A sidecar with little traffic learns too little by itself, and a message of a few bytes is cheap.
    """
    times = (server.wait, server.service_ratio * state.mean_size)
    wait, service = (max(0, min(int(x / PEER_REPORT_UNIT_NS), 65535)) for x in times)
    blob = PEER_REPORT.pack(crc32(server.name.encode()), wait, service)
    others = state.settings.replicas - 1
    for _ in range(min(MAX_PEERS_PER_OUTCOME, others // (MAX_PEERS_PER_OUTCOME * max(1, len(state.up))))):
        peer = int(state.random() * others)
        state.actions.append(SendToPeer(peer + (peer >= state.settings.index), blob))


def apply_peer_report(state: BalancerState, now: int, event: PeerMessage) -> None:
    """Update the estimates of a server from a peer's report."""
    if len(event.blob) != PEER_REPORT.size:
        return
    name_hash, wait, service = PEER_REPORT.unpack(event.blob)
    server = state.by_hash.get(name_hash)
    if server is not None:
        server.wait = float(wait * PEER_REPORT_UNIT_NS)
        record_wait(state, now, server.wait, warm_share(state, server, now) < 1.0)
        sample = service * PEER_REPORT_UNIT_NS / state.mean_size
        server.service_ratio += (sample - server.service_ratio) * (GAIN if server.observed_at else 1.0)
        server.observed_at = now


def reported_wait(state: BalancerState, load: dict[str, float]) -> float | None:
    """Return the expected wait from a load report, in ns; by Little's law if the report has the rate."""
    queue, rate = load.get("queue", -1.0), load.get("qps", 0.0)
    if not 0 <= queue < MAX_PLAUSIBLE:  # absent or invalid, including NaN
        return None
    wait = queue / rate * 1e9 if rate > 0 else queue * max(0.0, load.get("latency_ms", 0.0)) * 1e6 / 4
    return wait if wait < MAX_PLAUSIBLE else None  # one absurd value, infinity or NaN would stay in every mean


def mean_wait(state: BalancerState, now: int, cold: bool = False) -> float:
    """Return the mean wait of warm or of cold servers.

    It decays while nothing is observed: a sidecar that refuses all requests observes nothing, and must not refuse
    forever. Cold servers have their own mean: after a release there are many, without the queues of the warm
    ones.
    """
    return state.mean_waits[cold] * state.wait_memory / (state.wait_memory + now - state.mean_waits_at[cold])


def mean_local_delay(state: BalancerState, now: int) -> float:
    """Return the mean delay that this process itself adds to an attempt; it decays while nothing is observed."""
    return state.local_delay * state.wait_memory / (state.wait_memory + now - state.local_delay_at)


def record_wait(state: BalancerState, now: int, wait: float, cold: bool) -> None:
    """Add an observed wait to the mean, with more weight the longer ago the last one was.

    A sidecar with little traffic has to learn from a few calls.
    """
    gain = min(GAIN, max(GAIN / 8, (now - state.mean_waits_at[cold]) / state.wait_memory))
    mean = mean_wait(state, now, cold)
    state.mean_waits[cold], state.mean_waits_at[cold] = mean + (wait - mean) * gain, now


def ratio_of_kind(state: BalancerState, server: Server) -> float:
    """Return the mean service ratio of servers of the same kind."""
    return state.ratio_by_kind.get(server.kind, state.service_ratio)


def warm_share(state: BalancerState, server: Server, now: int) -> float:
    """Return the least share of its capacity that a server can have at its age."""
    inv = state.settings.invariants
    age = now - server.started
    if server.started <= 0 or age >= inv.slow_start_ns:
        return 1.0
    return inv.slow_start_floor + (1.0 - inv.slow_start_floor) * max(age, 0) / inv.slow_start_ns


def slow_start_share(state: BalancerState, server: Server, now: int) -> float:
    """Return the share of its draws that a server in slow start keeps.

    It is below the warm share, since the better of two drawn servers gets the call.
    """
    warmth = warm_share(state, server, now)
    return warmth * warmth**0.5


def expected_time(state: BalancerState, server: Server, call: Call, now: int, mean: float) -> float:
    """Return the expected time to answer in ns, with prices and the risk of failure expressed as time.

    Old observations fade to the means; that of the wait is the argument `mean`.
    """
    size, aim, wait = call.size, call.cls.aim_ns, mean
    ratio = state.ratio_by_kind.get(server.kind, state.service_ratio)
    if server.started > 0 and (warmth := warm_share(state, server, now)) < 1.0:
        # A cold server's own responses show how slow it is; until there are any, scale the mean of its kind.
        wait, ratio = mean_wait(state, now, True), ratio / warmth
    if server.observed_at:
        age, wait_memory, ratio_memory = now - server.observed_at, state.wait_memory, state.ratio_memory
        wait += (server.wait - wait) * wait_memory / (wait_memory + age)
        ratio += (server.service_ratio - ratio) * ratio_memory / (ratio_memory + age)
    expected = size * ratio + wait
    if server.zone != state.settings.zone:
        expected += state.cross_zone_price * aim
    if server.inflight >= server.connections or now - server.last_used > state.conn_idle:
        expected += state.handshake_price * aim
    return expected + server.failure_ratio * aim
