"""What failures cost a server, a zone or a class on a server, and what the tier says of them."""

from __future__ import annotations

from covetally.interface import NEVER_RAN, Suspect, Warned
from covetally.policy.state import Book
from covetally.policy.calls import Attempt, Call
from covetally.policy.constants import (
    CONNECT_FAILED,
    ERROR,
    FULL,
    GAIN,
    LONE,
    MUTE,
    RESET,
    SPOILT,
    STEPS,
    TIMEOUT,
)
from covetally.policy.server import Server
from covetally.policy.estimates import ramp

DEAD = 3  # failed connections in a row that show a dead process to a sidecar with many calls for each server
STREAK = 0.6  # failure average past which spoilt answers convict: three in a row
SHUN = 0.25  # failure average of a class on one server past which that server may be shunned for it
TASTE = 1 / 32  # share of such calls that a shunned server gets all the same, to show that it is well again
CUT = 0.6  # failure average past which a zone counts as cut off: three failed connections in a row


def clear(b: Book, now: int, attempt: Attempt) -> None:
    """A served call speaks for its server."""
    server, number = attempt.server, attempt.cls
    for fails, gain in ((server.fails, GAIN / 2), (b.fails, GAIN / 16)):
        if share := fails.get(number, 0.0):
            fails[number] = share - share * gain
    server.bad *= 1.0 - GAIN
    if b.cut.get(server.zone):
        note_cut(b, server.zone, 0.0)
    b.noise -= b.noise * GAIN / 16
    if attempt.trial:
        if not server.k:
            b.live += server.up
        server.k = min(server.k + 1, b.steps)
        server.backoff = server.retry_at = 0
    if server.figure < server.ceiling:
        server.figure = min(server.ceiling, server.figure + GAIN / 8)
    if server.refused:
        if server.refused >= (DEAD if b.many else 1):
            # Connections failed and now work: it restarted before the list says so; treat it as cold.
            server.started = max(server.started, now)
        server.refused = 0


def blame(b: Book, now: int, attempt: Attempt, how: int) -> None:
    """A failure may cost its server steps, or all of them."""
    server, number = attempt.server, attempt.cls
    if how not in NEVER_RAN and how != SPOILT:  # which may come from any server: see "spoilt" below
        for fails, gain in ((server.fails, GAIN / 2), (b.fails, GAIN / 16)):
            share = fails.get(number, 0.0)
            fails[number] = share + (1.0 - share) * gain
    if how != TIMEOUT:
        server.bad += (1.0 - server.bad) * GAIN
        b.noise += (1.0 - b.noise) * GAIN / 16
    before = server.k
    lone = how not in (TIMEOUT, FULL) and is_lone(b, server)
    if attempt.trial and not (lone and before):
        server.backoff = min(max(2 * server.backoff, b.horizon), 8 * b.horizon)
        back_off(b, now, server)
    elif how in (CONNECT_FAILED, RESET) and before:
        if not lone or how == CONNECT_FAILED:  # which takes the last step only where few are out
            server.k = max(int(lone or not may_convict(b)), server.k // 2)
    elif how == SPOILT and before and not lone and server.bad > STREAK and may_convict(b):
        # Exception "spoilt": one bad answer may come from any server; a streak of them is this server's.
        server.k = 0
    if how == FULL:
        server.figure = max(1.0 / STEPS, server.figure * 0.7)
    if how == ERROR and server.k and not lone and may_convict(b):
        # Exception "conviction": failing servers answer fast, look idle and would draw all traffic.
        server.k = 0
    if how == CONNECT_FAILED or (how == TIMEOUT and only_silent(b, server.zone, attempt.sent)):
        # Exception "cut zone": when a link is cut, learning it server by server costs a call for each.
        note_cut(b, server.zone, b.cut.get(server.zone, 0.0) * (1.0 - GAIN) + GAIN)
    server.refused += how == CONNECT_FAILED
    if before and not server.k:
        b.live -= server.up
        if not attempt.trial:
            server.backoff = max(server.backoff, b.horizon)
            back_off(b, now, server)


def only_silent(b: Book, zone: int, since: int) -> bool:
    """Whether nothing sent to a zone since then was answered, and something sent elsewhere was. On kept
    connections a cut link shows as time-outs; where all zones are slow together it is none."""
    if b.many or b.spoke.get(zone, 0) > since:
        return False
    return any(at > since for other, at in b.spoke.items() if other != zone)


def is_cut(b: Book, now: int, zone: int) -> bool:
    """Whether a zone counts as cut off: calls to it failed, or the first of some calls there has waited for
    half an aim and none was answered, while a call sent elsewhere since was."""
    if b.cut.get(zone, 0.0) > CUT or (zone in b.warned_zones and now < b.warned_until):
        return True
    unheard = b.unheard.get(zone, ())
    if len(unheard) < MUTE or now - unheard[0] < b.settle // 8:
        return False
    return only_silent(b, zone, unheard[0])


def note_cut(b: Book, zone: int, share: float) -> None:
    b.cut[zone] = share
    b.cuts = any(share > CUT for share in b.cut.values()) or any(len(sent) == MUTE for sent in b.unheard.values())
    b.cuts = b.cuts or bool(b.warned or b.warned_zones)


def warn(b: Book, now: int, event: Warned) -> None:
    """Exception "warned": what many sidecars found is a reason to try elsewhere first, and to leave the trial
    to the one whose turn it is. It is no verdict: nothing learned here changes, it ends by itself, and where
    there is nowhere else to go such a server is called as any other.
    """
    for server in b.warned:
        server.warned, server.turn = (), False
    b.warned_until, b.warned, b.warned_zones = event.until_ns, [], event.zones
    for name, cls in event.servers:
        if (server := b.servers.get(name)) is not None:
            server.warned = (*server.warned, cls)
            server.turn = name in event.turns
            b.warned.append(server)
    for name, since in event.back:
        if (server := b.servers.get(name)) is not None:
            server.started = max(server.started, since)
    note_cut(b, b.settings.zone, b.cut.get(b.settings.zone, 0.0))


def is_warned(b: Book, now: int, server: Server, cls: int = -1) -> bool:
    return bool(server.warned) and now < b.warned_until and (-1 in server.warned or cls in server.warned)


def back_off(b: Book, now: int, server: Server) -> None:
    server.tried = now  # its turns count from here
    server.retry_at = now + int(server.backoff * (0.75 + 0.5 * b.random()))


def suspect(b: Book, now: int, event: Suspect) -> None:
    """Exception "suspect": no new work but trials, as after a conviction, for a server said to be hung."""
    server = b.servers.get(event.server)
    if server is None or not server.up or not server.k or not may_convict(b):
        return
    server.k = 0
    b.live -= 1
    server.backoff = max(server.backoff, b.horizon)
    back_off(b, now, server)
    b.refresh(server)


def is_lone(b: Book, server: Server) -> bool:
    """Exception "lone failure": no verdict on a failure that may be chance, where more calls soon tell.

    Connections and answers may break under healthy servers all the time. Where each of those costs a
    server its steps, k never grows back. So a sidecar with many calls for each server waits for failures
    beyond what all servers show; one with few calls cannot, and takes the first failure for a verdict.
    """
    return b.many and server.bad <= LONE + 2.0 * min(b.noise, 0.2)


def may_convict(b: Book) -> bool:
    """When most servers look bad the cause is shared, and convicting more only costs capacity."""
    return 2 * b.live > len(b.up)


def shuns(b: Book, server: Server, call: Call) -> bool:
    """Exception "shunned class": the server fails this call's class, and others serve it well.

    Guards against servers that are well but for one kind of request, which the other kinds' answers hide
    from every verdict on the server as a whole. It ought to catch whatever one class needs and one server
    lacks, be it time-outs, errors or resets. Where all servers fail a class about alike, none is
    shunned for it. It could do harm where a class is rare and its failures are chance: it then meets
    fewer servers for a while.
    """
    fails = server.fails.get(call.number, 0.0)
    if fails <= SHUN or fails <= 2.0 * b.fails[call.number] or not b.many:
        return False
    return b.random() >= TASTE


def why_less(b: Book, server: Server, now: int) -> str:
    """Why a server gets less than its share, empty if it does not."""
    if not server.up:
        return "leaving"
    if not server.k:
        return "on trial" if server.trial else "in backoff" if now < server.retry_at else "due for a trial"
    if is_cut(b, now, server.zone):
        return "its zone is cut off"
    if is_warned(b, now, server):
        return "the tier's turn to try it" if server.turn else "avoided by the tier"
    if ramp(b, server, now) < 1.0:
        return "cold"
    return "at budget" if server.inflight >= server.budget else ""
