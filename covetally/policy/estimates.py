"""How long servers take: what answers, time-outs, reports and peers teach, and the time expected of a call."""

from __future__ import annotations

from struct import Struct
from zlib import crc32

from covetally.interface import Heard, Response, Signal
from covetally.policy.state import Book
from covetally.policy.calls import Attempt, Call
from covetally.policy.constants import GAIN, LONE, OK, TIMEOUT
from covetally.policy.server import Server

PEERS = 4  # peers told of each outcome, at most
RUMOUR = Struct(">IHH")  # hash of the server's name, its wait, its service time
RUMOUR_NS = 100_000  # unit of the times told
ABSURD = 1e13  # no report of a time this long is believed


def learn(b: Book, now: int, attempt: Attempt, event: Response) -> None:
    server, load, lag = attempt.server, event.load, event.lag_ns
    known = server.seen > 0
    warmth = warmth_of(b, server, now)
    wait = report_wait(b, load) if load else None
    if wait is not None:
        server.wait = wait
        note_wait(b, now, wait, warmth < 1.0)
    elif event.how == OK:
        server.wait *= 1.0 - GAIN  # where no report tells the wait, none would end what a time-out taught
    told = 0.0
    if load:
        report = load.get("latency_ms", 0.0) * 1e6
        if 0 < report < ABSURD:
            # The time that a server tells has its queue in it, and the wait is counted for itself.
            told = max(report - (wait or 0.0), report / 4)
            sample = told / b.size
            server.stretch += (sample - server.stretch) * (GAIN if known else 1.0)
            known = True
        server.seen = now
    if event.how == OK and lag > 0:
        size, number, unit = attempt.size, attempt.cls, b.unit
        service = max(lag - server.wait, lag / 4) if "queue" in load else lag
        weight = GAIN * min(2.0, size / unit[number])
        sample = service / size
        old = server.stretch if known else kind_stretch(b, server) / warmth
        server.stretch = old + (sample - old) * weight
        server.seen = now
        # What the others' expected times are made of is the work of a warm one, and no queue: where a report
        # tells both times of one moment, that is known better than from this call.
        sample = (told / b.size if told and wait is not None else sample) * warmth
        all_ = b.stretch
        b.stretch = all_ = all_ + (sample - all_) * weight / 8
        kind = b.by_kind.get(server.kind, all_)
        b.by_kind[server.kind] = kind + (sample - kind) * weight / 4
        if not wait:
            unit[number] += (service * warmth / all_ - unit[number]) * GAIN / 8
        server.late *= 1.0 - GAIN
    elif event.how == TIMEOUT and b.many and server.late < LONE:
        # As for "lone failure": an answer may be lost where nothing queues, and more calls soon tell.
        server.late += (1.0 - server.late) * GAIN
    elif event.how == TIMEOUT and lag > 0:
        # A call that timed out waited at least so long: reports may not say it yet.
        waited = lag - attempt.size * kind_stretch(b, server) / warmth
        server.wait = max(server.wait, waited)
        server.seen = now
        if waited > 0:
            # And longer by an unknown time, for which the mean stands in: that time-outs cut a wait short
            # must not make queues look the shorter the more calls they kill.
            cold = warmth < 1.0
            note_wait(b, now, waited + mean_wait(b, now, cold), cold)
        kind, sample = kind_stretch(b, server), lag / attempt.size * warmth
        if sample > kind and len(b.settings.kinds) > 1:  # else slow kinds are judged by survivors
            b.by_kind[server.kind] = kind + (sample - kind) * GAIN / 4


def spread(b: Book, server: Server) -> None:
    """Exception "rumour": a quiet sidecar hears too little by itself; a few bytes to peers are cheap."""
    times = (server.wait, server.stretch * b.size)
    wait, service = (max(0, min(int(x / RUMOUR_NS), 65535)) for x in times)
    blob = RUMOUR.pack(crc32(server.name.encode()), wait, service)
    others = b.settings.replicas - 1
    for _ in range(min(PEERS, others // (PEERS * max(1, len(b.up))))):
        peer = int(b.random() * others)
        b.acts.append(Signal(peer + (peer >= b.settings.index), blob))


def hear(b: Book, now: int, event: Heard) -> None:
    if len(event.blob) != RUMOUR.size:
        return
    mark, wait, service = RUMOUR.unpack(event.blob)
    server = b.by_mark.get(mark)
    if server is not None:
        server.wait = float(wait * RUMOUR_NS)
        note_wait(b, now, server.wait, warmth_of(b, server, now) < 1.0)
        sample = service * RUMOUR_NS / b.size
        server.stretch += (sample - server.stretch) * (GAIN if server.seen else 1.0)
        server.seen = now


def report_wait(b: Book, load: dict[str, float]) -> float | None:
    """Expected wait from a report, by Little's law where the rate is told."""
    queue, rate = load.get("queue", -1.0), load.get("qps", 0.0)
    if not 0 <= queue < ABSURD:  # absent, or an odd value, NaN too
        return None
    wait = queue / rate * 1e9 if rate > 0 else queue * max(0.0, load.get("latency_ms", 0.0)) * 1e6 / 4
    return wait if wait < ABSURD else None  # one absurd figure, infinity or NaN would stay in every mean


def mean_wait(b: Book, now: int, cold: bool = False) -> float:
    """Fades without news: a sidecar that refuses all hears nothing, and must not refuse forever. Cold servers
    have a mean of their own: after a release they are many, and the warm ones' queues are not theirs."""
    return b.waits[cold] * b.settle / (b.settle + now - b.waits_at[cold])


def mean_own(b: Book, now: int) -> float:
    return b.own * b.settle / (b.settle + now - b.own_at)


def note_wait(b: Book, now: int, wait: float, cold: bool) -> None:
    """The rarer the news, the more each one says: a quiet sidecar has to learn in a few calls."""
    gain = min(GAIN, max(GAIN / 8, (now - b.waits_at[cold]) / b.settle))
    mean = mean_wait(b, now, cold)
    b.waits[cold], b.waits_at[cold] = mean + (wait - mean) * gain, now


def kind_stretch(b: Book, server: Server) -> float:
    return b.by_kind.get(server.kind, b.stretch)


def warmth_of(b: Book, server: Server, now: int) -> float:
    """The least share of its capacity that a server can have by now."""
    inv = b.settings.invariants
    age = now - server.started
    if server.started <= 0 or age >= inv.cold_ns:
        return 1.0
    return inv.cold_from + (1.0 - inv.cold_from) * max(age, 0) / inv.cold_ns


def ramp(b: Book, server: Server, now: int) -> float:
    """Share of draws a server may keep: below its warmth, since the better of two draws gets the call."""
    warmth = warmth_of(b, server, now)
    return warmth * warmth**0.5


def expected(b: Book, server: Server, call: Call, now: int, mean: float) -> float:
    """Expected time to answer, with prices and risk put into time. What is old fades to the mean, of waits to
    `mean`."""
    size, aim, wait = call.size, call.cls.aim_ns, mean
    stretch = b.by_kind.get(server.kind, b.stretch)
    if server.started > 0 and (warmth := warmth_of(b, server, now)) < 1.0:
        # Its own answers tell how slow it is; where there are none, what a warm one needs does.
        wait, stretch = mean_wait(b, now, True), stretch / warmth
    if server.seen:
        age, settle, memory = now - server.seen, b.settle, b.memory
        wait += (server.wait - wait) * settle / (settle + age)
        stretch += (server.stretch - stretch) * memory / (memory + age)
    expect = size * stretch + wait
    if server.zone != b.settings.zone:
        expect += b.cross * aim
    if server.inflight >= server.peak or now - server.used > b.conn_idle:
        expect += b.handshake * aim
    return expect + server.bad * aim
