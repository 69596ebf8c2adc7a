"""How long servers take: what answers, time-outs, reports and peers teach, and the time expected of a call."""

from __future__ import annotations

from struct import Struct
from zlib import crc32

from covetally.interface import PeerMessage, AttemptEnded, SendToPeer
from covetally.policy.state import BalancerState
from covetally.policy.calls import Attempt, Call
from covetally.policy.constants import GAIN, LONE, OK, TIMEOUT
from covetally.policy.server import Server

PEERS = 4  # peers told of each outcome, at most
RUMOUR = Struct(">IHH")  # hash of the server's name, its wait, its service time
RUMOUR_NS = 100_000  # unit of the times told
ABSURD = 1e13  # no report of a time this long is believed


def learn(state: BalancerState, now: int, attempt: Attempt, event: AttemptEnded) -> None:
    server, load, lag = attempt.server, event.load, event.latency_ns
    known = server.observed_at > 0
    warmth = warm_share(state, server, now)
    wait = report_wait(state, load) if load else None
    if wait is not None:
        server.wait = wait
        note_wait(state, now, wait, warmth < 1.0)
    elif event.status == OK:
        server.wait *= 1.0 - GAIN  # where no report tells the wait, none would end what a time-out taught
    told = 0.0
    if load:
        report = load.get("latency_ms", 0.0) * 1e6
        if 0 < report < ABSURD:
            # The time that a server tells has its queue in it, and the wait is counted for itself.
            told = max(report - (wait or 0.0), report / 4)
            sample = told / state.mean_size
            server.service_ratio += (sample - server.service_ratio) * (GAIN if known else 1.0)
            known = True
        server.observed_at = now
    if event.status == OK and lag > 0:
        size, number, unit = attempt.size, attempt.cls, state.class_service_ns
        service = max(lag - server.wait, lag / 4) if "queue" in load else lag
        weight = GAIN * min(2.0, size / unit[number])
        sample = service / size
        old = server.service_ratio if known else kind_stretch(state, server) / warmth
        server.service_ratio = old + (sample - old) * weight
        server.observed_at = now
        # What the others' expected times are made of is the work of a warm one, and no queue: where a report
        # tells both times of one moment, that is known better than from this call.
        sample = (told / state.mean_size if told and wait is not None else sample) * warmth
        all_ = state.service_ratio
        state.service_ratio = all_ = all_ + (sample - all_) * weight / 8
        kind = state.ratio_by_kind.get(server.kind, all_)
        state.ratio_by_kind[server.kind] = kind + (sample - kind) * weight / 4
        if not wait:
            unit[number] += (service * warmth / all_ - unit[number]) * GAIN / 8
        server.timeout_ratio *= 1.0 - GAIN
    elif event.status == TIMEOUT and state.high_traffic and server.timeout_ratio < LONE:
        # As for "lone failure": an answer may be lost where nothing queues, and more calls soon tell.
        server.timeout_ratio += (1.0 - server.timeout_ratio) * GAIN
    elif event.status == TIMEOUT and lag > 0:
        # A call that timed out waited at least so long: reports may not say it yet.
        waited = lag - attempt.size * kind_stretch(state, server) / warmth
        server.wait = max(server.wait, waited)
        server.observed_at = now
        if waited > 0:
            # And longer by an unknown time, for which the mean stands in: that time-outs cut a wait short
            # must not make queues look the shorter the more calls they kill.
            cold = warmth < 1.0
            note_wait(state, now, waited + mean_wait(state, now, cold), cold)
        kind, sample = kind_stretch(state, server), lag / attempt.size * warmth
        if sample > kind and len(state.settings.kinds) > 1:  # else slow kinds are judged by survivors
            state.ratio_by_kind[server.kind] = kind + (sample - kind) * GAIN / 4


def spread(state: BalancerState, server: Server) -> None:
    """Exception "rumour": a quiet sidecar hears too little by itself; a few bytes to peers are cheap."""
    times = (server.wait, server.service_ratio * state.mean_size)
    wait, service = (max(0, min(int(x / RUMOUR_NS), 65535)) for x in times)
    blob = RUMOUR.pack(crc32(server.name.encode()), wait, service)
    others = state.settings.replicas - 1
    for _ in range(min(PEERS, others // (PEERS * max(1, len(state.up))))):
        peer = int(state.random() * others)
        state.actions.append(SendToPeer(peer + (peer >= state.settings.index), blob))


def hear(state: BalancerState, now: int, event: PeerMessage) -> None:
    if len(event.blob) != RUMOUR.size:
        return
    mark, wait, service = RUMOUR.unpack(event.blob)
    server = state.by_hash.get(mark)
    if server is not None:
        server.wait = float(wait * RUMOUR_NS)
        note_wait(state, now, server.wait, warm_share(state, server, now) < 1.0)
        sample = service * RUMOUR_NS / state.mean_size
        server.service_ratio += (sample - server.service_ratio) * (GAIN if server.observed_at else 1.0)
        server.observed_at = now


def report_wait(state: BalancerState, load: dict[str, float]) -> float | None:
    """Expected wait from a report, by Little's law where the rate is told."""
    queue, rate = load.get("queue", -1.0), load.get("qps", 0.0)
    if not 0 <= queue < ABSURD:  # absent, or an odd value, NaN too
        return None
    wait = queue / rate * 1e9 if rate > 0 else queue * max(0.0, load.get("latency_ms", 0.0)) * 1e6 / 4
    return wait if wait < ABSURD else None  # one absurd figure, infinity or NaN would stay in every mean


def mean_wait(state: BalancerState, now: int, cold: bool = False) -> float:
    """Fades without news: a sidecar that refuses all hears nothing, and must not refuse forever. Cold servers
    have a mean of their own: after a release they are many, and the warm ones' queues are not theirs."""
    return state.mean_waits[cold] * state.wait_memory / (state.wait_memory + now - state.mean_waits_at[cold])


def mean_own(state: BalancerState, now: int) -> float:
    return state.local_delay * state.wait_memory / (state.wait_memory + now - state.local_delay_at)


def note_wait(state: BalancerState, now: int, wait: float, cold: bool) -> None:
    """The rarer the news, the more each one says: a quiet sidecar has to learn in a few calls."""
    gain = min(GAIN, max(GAIN / 8, (now - state.mean_waits_at[cold]) / state.wait_memory))
    mean = mean_wait(state, now, cold)
    state.mean_waits[cold], state.mean_waits_at[cold] = mean + (wait - mean) * gain, now


def kind_stretch(state: BalancerState, server: Server) -> float:
    return state.ratio_by_kind.get(server.kind, state.service_ratio)


def warm_share(state: BalancerState, server: Server, now: int) -> float:
    """The least share of its capacity that a server can have by now."""
    inv = state.settings.invariants
    age = now - server.started
    if server.started <= 0 or age >= inv.slow_start_ns:
        return 1.0
    return inv.slow_start_floor + (1.0 - inv.slow_start_floor) * max(age, 0) / inv.slow_start_ns


def slow_start_share(state: BalancerState, server: Server, now: int) -> float:
    """Share of draws a server may keep: below its warmth, since the better of two draws gets the call."""
    warmth = warm_share(state, server, now)
    return warmth * warmth**0.5


def expected_time(state: BalancerState, server: Server, call: Call, now: int, mean: float) -> float:
    """Expected time to answer, with prices and risk put into time. What is old fades to the mean, of waits to
    `mean`."""
    size, aim, wait = call.size, call.cls.aim_ns, mean
    stretch = state.ratio_by_kind.get(server.kind, state.service_ratio)
    if server.started > 0 and (warmth := warm_share(state, server, now)) < 1.0:
        # Its own answers tell how slow it is; where there are none, what a warm one needs does.
        wait, stretch = mean_wait(state, now, True), stretch / warmth
    if server.observed_at:
        age, settle, memory = now - server.observed_at, state.wait_memory, state.ratio_memory
        wait += (server.wait - wait) * settle / (settle + age)
        stretch += (server.service_ratio - stretch) * memory / (memory + age)
    expect = size * stretch + wait
    if server.zone != state.settings.zone:
        expect += state.cross_zone_price * aim
    if server.inflight >= server.connections or now - server.last_used > state.conn_idle:
        expect += state.handshake_price * aim
    return expect + server.failure_ratio * aim
