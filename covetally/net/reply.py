"""The answer to one request, part by part. No I/O.

    what has come       next part                            what it comes to
    nothing             a head below 200                     nothing yet; MAX_INTERIM of them at most
    nothing             200, the request is sent             BODY
    nothing             400 to 499, the request is sent      CANCELLED: the request is at fault, its answer is 502
    nothing             503 or 504 with X-Never-Ran          FULL, also before the request is sent
    nothing             any other                            ERROR, once the request is sent; else Broken
    BODY                bytes                                BODY, up to MAX_BODY
    BODY                the end of the message               OK, with the whole answer
    any                 the end of the connection            Broken

A request for another protocol has a table of its own, in `_switched`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from covetally.interface import AttemptStatus
from covetally.net.message import (
    MAX_BODY,
    Answer,
    Broken,
    End,
    Event,
    Malformed,
    ResponseHead,
    check_framing,
    end_to_end,
    joined,
)
from covetally.net.outcome import NO_LOAD, Load, Request, Switch

log = logging.getLogger(__name__)

SERVED, SWITCHED = 200, 101
NEVER_RAN_STATUS = (503, 504)
MAX_INTERIM = 16  # 1xx answers ahead of the answer


class Come(NamedTuple):
    """What an answer comes to; `answer` is there if it settles the request."""

    how: AttemptStatus
    answer: Answer | None = None


class Reply:
    """What has come of an answer."""

    __slots__ = ("_body", "_head", "_interim", "_read_load", "_switch", "answered", "load")

    def __init__(self, request: Request, read_load: Callable[[bytes], Load]) -> None:
        self._switch = request.switch
        self._read_load = read_load
        self._head: ResponseHead | None = None  # of an answer that is wanted
        self._body: bytes | bytearray = b""
        self._interim = 0
        self.answered = False  # the head of an answer has come
        self.load = NO_LOAD

    def take(self, part: Event, sent: bool) -> Come | None:
        """The next part, where the request's last byte is sent or not; Malformed or Broken if it can be none."""
        kind = type(part)
        if kind is bytes:
            self._body = joined(self._body, part)
            if len(self._body) > MAX_BODY:
                raise Malformed("answer too long")
            return None
        if kind is ResponseHead:
            return self._on_head(part, sent)
        if part is not End.MESSAGE:
            raise Broken("ended before an answer")
        head = self._head
        assert head is not None
        return Come(AttemptStatus.OK, Answer(SERVED, end_to_end(head.headers, head.fields), bytes(self._body)))

    def _on_head(self, head: ResponseHead, sent: bool) -> Come | None:
        if self._switch is not None and head.status < 500 and sent:
            return self._switched(head, self._switch)
        if head.status < 200:
            self._one_more_interim()
            return None
        self.answered = True
        fields = head.fields
        if b"endpoint-load-metrics" in fields:
            self.load = self._read_load(fields[b"endpoint-load-metrics"])
        if sent and 400 <= head.status < 500:
            # Guards against bad requests that pass the front's checks: the request is at fault, so another
            # server would say the same, and this one is not to be judged by it. It ought to catch anything
            # that a server finds wrong with a request; it would do harm where servers used 4xx for their own
            # troubles, which then would not count against them.
            log.warning("a server turned a request away with %d", head.status)
            return Come(AttemptStatus.CANCELLED, Answer(502, []))
        if head.status == SERVED and sent:
            check_framing(fields)
            self._head = head
            return None
        if head.status in NEVER_RAN_STATUS and (b"x-never-ran", b"1") in head.headers:
            return Come(AttemptStatus.FULL)
        if not sent:
            raise Broken("answered before the request was whole")
        return Come(AttemptStatus.ERROR)

    def _switched(self, head: ResponseHead, switch: Switch) -> Come | None:
        """The answer to a request for another protocol. One that is neither an agreement nor a refusal that is
        the client's to hear is a 502: nothing of it may pass for the other protocol, or for an answer."""
        if head.status == SWITCHED:
            switch.check(head)
            self.answered = True
            return Come(AttemptStatus.OK, Answer(SWITCHED, end_to_end(head.headers, head.fields)))
        if head.status < 200:
            self._one_more_interim()
            return None
        self.answered = True
        log.warning("a server answered an upgrade with %d", head.status)
        kept = [pair for pair in end_to_end(head.headers, head.fields) if pair[0] != b"content-type"]
        return Come(AttemptStatus.CANCELLED, Answer(head.status, kept) if head.status >= 400 else Answer(502, []))

    def _one_more_interim(self) -> None:
        self._interim += 1
        if self._interim > MAX_INTERIM:
            raise Malformed("1xx answers without end")
