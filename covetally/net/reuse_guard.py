"""Decides when a connection may carry its next request, and which answers on it are not believed. No I/O.

Nothing in an HTTP/1.1 response names its request: a response belongs to the request before it on the connection.
A server, or something before it, that sends surplus bytes after a response (a second copy, a part of one, noise)
would have them read as the response to the next request, if that is sent before they arrive. So a connection is
reused only after it was idle for a while, in which surplus bytes show, and the connection is closed.

    state     from                                                      idle time before reuse
    --------  --------------------------------------------------------  --------------------------------------
    calm      the start, or CAUTION_S after the last sign               CALM_IDLE_S after a 200, otherwise
                                                                        CAUTIOUS_IDLE_S
    cautious  surplus bytes, a doubtful response, or equal responses    CAUTIOUS_IDLE_S, or LATENESS_FACTOR
              on different connections                                  times the largest lateness seen

Beyond that idle time a 200 is doubted if its body equals that of an earlier one on the same connection, and any
response if a second status line is inside it. Equal bodies are no sign of a copy in a deployment in which they
are ordinary, which shows on different connections; there the idle time alone has to do.
"""

from __future__ import annotations

from typing import NamedTuple

from covetally.net.http_message import contains_status_line
from covetally.net.server_connection import ServerConnection

CALM_IDLE_S = 0.025
CAUTIOUS_IDLE_S = 0.05
MAX_IDLE_S = 0.2  # with more, nearly every request would need a new connection
LATENESS_FACTOR = 1.5
CAUTION_S = 600.0
MAX_CAUTIOUS_WAIT_S = 0.005  # for a connection to become reusable: a longer wait costs more than a new connection
COMPARED_S = MAX_IDLE_S  # a body is compared with those of the answers on its connection that are not older
MAX_COMPARED_BODIES = 64  # of all connections
MAX_REMEMBERED_ANSWERS = 16  # of one connection


class RequiredIdle(NamedTuple):
    """For how long, in s, a connection has to be idle before its reuse, by the last answer that it carried, and
    how long an attempt waits for that in place of a new connection."""

    after_ok_s: float
    after_error_s: float
    max_wait_s: float


class ReuseGuard:
    """One for all connections of a process, since servers behave alike. All times are s on the loop's clock."""

    def __init__(self) -> None:
        self.surplus_count = 0  # connections on which surplus bytes arrived
        self.doubtful_count = 0  # responses that were not believed
        self.max_lateness_s = 0.0  # of surplus bytes, since the process became cautious
        self.cautious_until = 0.0
        self._equal_until = 0.0  # until then equal bodies count as ordinary
        self.calm = RequiredIdle(CALM_IDLE_S, CAUTIOUS_IDLE_S, CALM_IDLE_S)
        self.cautious = RequiredIdle(CAUTIOUS_IDLE_S, CAUTIOUS_IDLE_S, MAX_CAUTIOUS_WAIT_S)
        self._bodies: dict[int, int] = {}  # recent body hashes of all connections, with the connection's number

    def required_idle(self, now: float) -> RequiredIdle:
        """Return how long connections have to be idle before they may be reused."""
        return self.calm if now >= self.cautious_until else self.cautious

    def on_surplus(self, lateness_s: float, now: float) -> None:
        """Record bytes that belong to no request and arrived `lateness_s` after an answer."""
        self.surplus_count += 1
        self._be_cautious(lateness_s, now)

    def _be_cautious(self, lateness_s: float, now: float) -> None:
        if now >= self.cautious_until:
            self.max_lateness_s = 0.0
        self.cautious_until = now + CAUTION_S
        self.max_lateness_s = max(self.max_lateness_s, lateness_s)
        idle_s = min(MAX_IDLE_S, max(CAUTIOUS_IDLE_S, LATENESS_FACTOR * self.max_lateness_s))
        self.cautious = RequiredIdle(idle_s, idle_s, MAX_CAUTIOUS_WAIT_S)

    def doubt(self, connection: ServerConnection, body: bytes, now: float) -> str:
        """Return why a complete 200 response may be that of an earlier request, which makes the process cautious;
        empty if it cannot be, and then it is remembered."""
        body_hash, answers = hash(body), connection.answers
        if body_hash in answers:
            lateness_s = now - answers.pop(body_hash)
            if lateness_s <= COMPARED_S and now >= self._equal_until:
                self.doubtful_count += 1
                self._be_cautious(lateness_s, now)
                return "its body equals that of an earlier one"
        if b"HTTP/1." in body and connection.carried and connection.leftover and contains_status_line(body):
            self.doubtful_count += 1
            self._be_cautious(0.0, now)
            return "a second response begins inside it"
        answers[body_hash] = now
        if len(answers) > MAX_REMEMBERED_ANSWERS:
            del answers[next(iter(answers))]
        if self._bodies.setdefault(body_hash, connection.number) != connection.number:
            self._equal_until = now + CAUTION_S  # no copies of each other
            self._be_cautious(0.0, now)
        elif len(self._bodies) > MAX_COMPARED_BODIES:
            del self._bodies[next(iter(self._bodies))]
        return ""

    def table(self, now: float) -> dict[str, float]:
        """Return the counts and the idle time that is required now, for operators."""
        idle_s = self.required_idle(now).after_ok_s
        return {
            "surplus": self.surplus_count, "doubtful": self.doubtful_count,
            "latest_ms": round(self.max_lateness_s * 1000, 1), "idle_ms": round(idle_s * 1000, 1),
        }  # fmt: skip
