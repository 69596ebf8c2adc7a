"""Classifies the response of a server to one attempt, part by part. No I/O.

    received so far  next part                        result
    ---------------  -------------------------------  -------------------------------------------------------
    nothing          head with a status below 200     none yet; Malformed after MAX_INTERIM of them
    nothing          200, the request is sent         none yet; Malformed if its length is beyond MAX_BODY
    nothing          400 to 499, the request is sent  CANCELLED: the request is at fault, the client gets 502
    nothing          503 or 504 with X-Never-Ran      FULL, also before the request is sent
    nothing          any other head                   ERROR if the request is sent, otherwise Broken
    head of a 200    bytes                            none yet; Malformed beyond MAX_BODY
    head of a 200    the end of the message           OK, with the complete response
    anything         the end of the connection        Broken

The response to a request for another protocol is handled by `_on_upgrade_response`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from covetally.interface import AttemptStatus
from covetally.net.http_message import (
    MAX_BODY,
    MERGED_RESPONSES,
    HttpResponse,
    Broken,
    End,
    MessagePart,
    Malformed,
    ResponseHead,
    check_length,
    contains_status_line,
    end_to_end,
    append_part,
    headers_bytes,
)
from covetally.net.outcome import NO_LOAD, Load, Request, Switch

log = logging.getLogger(__name__)

STATUS_OK, SWITCHED = 200, 101
NEVER_RAN_STATUS = (503, 504)
MAX_INTERIM = 16  # interim (1xx) responses before the final one


class ResponseResult(NamedTuple):
    """The outcome that a response proves; `response` is set if it is final for the client."""

    status: AttemptStatus
    response: HttpResponse | None = None


class ResponseReader:
    """Collects the parts of one response and determines its result."""

    __slots__ = (
        "_body", "_head", "_interim_count", "_read_load", "_switch", "ends_with_connection",
        "head_received", "load",
    )  # fmt: skip

    def __init__(self, request: Request, read_load: Callable[[bytes], Load]) -> None:
        self._switch = request.switch
        self._read_load = read_load
        self._head: ResponseHead | None = None  # of a 200 response whose body is awaited
        self._body: bytes | bytearray = b""
        self._interim_count = 0
        self.head_received = False  # a final head has been received
        self.ends_with_connection = False  # that of a 200 response without a length
        self.load = NO_LOAD

    @property
    def held(self) -> int:
        """The bytes of memory that the response takes so far."""
        head = headers_bytes(self._head.headers) if self._head is not None else 0
        return head + len(self._body)

    def add_part(self, part: MessagePart, sent: bool) -> ResponseResult | None:
        """Process the next part and return the result once it is known. `sent` tells whether the last byte of the
        request has been sent. Raises Malformed or Broken if the part is not valid here."""
        kind = type(part)
        if kind is bytes:
            self._body = append_part(self._body, part) if self._body else part
            if len(self._body) > MAX_BODY:
                raise Malformed("response body too long")
            return None
        if kind is ResponseHead:
            return self._on_head(part, sent)
        if part is not End.MESSAGE:
            raise Broken("connection closed before the response")
        head = self._head
        assert head is not None
        if self.ends_with_connection and contains_status_line(bytes(self._body)):
            raise Malformed(MERGED_RESPONSES)  # nothing separates a body without a length from a second response
        return ResponseResult(
            AttemptStatus.OK, HttpResponse(STATUS_OK, end_to_end(head.headers, head.fields), bytes(self._body))
        )

    def _on_head(self, head: ResponseHead, sent: bool) -> ResponseResult | None:
        if self._switch is not None and head.status < 500 and sent:
            return self._on_upgrade_response(head, self._switch)
        if head.status < 200:
            self._count_interim()
            return None
        self.head_received = True
        fields = head.fields
        if b"endpoint-load-metrics" in fields:
            self.load = self._read_load(fields[b"endpoint-load-metrics"])
        if sent and 400 <= head.status < 500:
            # Guards against invalid requests that pass the frontend's checks: the request is at fault, so other
            # servers would reject it as well, and it must not count against this one. Catches everything that a
            # server finds wrong with a request. Would do harm if servers used 4xx for failures of their own,
            # which would not count against them.
            log.warning("a server rejected a request with %d", head.status)
            return ResponseResult(AttemptStatus.CANCELLED, HttpResponse(502, []))
        if head.status == STATUS_OK and sent:
            self.ends_with_connection = not check_length(fields)
            self._head = head
            return None
        if head.status in NEVER_RAN_STATUS and (b"x-never-ran", b"1") in head.headers:
            return ResponseResult(AttemptStatus.FULL)
        if not sent:
            raise Broken("response received before the request was sent completely")
        return ResponseResult(AttemptStatus.ERROR)

    def _on_upgrade_response(self, head: ResponseHead, switch: Switch) -> ResponseResult | None:
        """The response to a request for another protocol. 101 switches, and a status of 400 or above is passed
        on. Any other final response becomes a 502, since the client must not take it for the other protocol or
        for a valid response."""
        if head.status == SWITCHED:
            switch.check(head)
            self.head_received = True
            return ResponseResult(AttemptStatus.OK, HttpResponse(SWITCHED, end_to_end(head.headers, head.fields)))
        if head.status < 200:
            self._count_interim()
            return None
        self.head_received = True
        log.warning("a server responded to an upgrade request with %d", head.status)
        headers = [pair for pair in end_to_end(head.headers, head.fields) if pair[0] != b"content-type"]
        return ResponseResult(
            AttemptStatus.CANCELLED,
            HttpResponse(head.status, headers) if head.status >= 400 else HttpResponse(502, []),
        )

    def _count_interim(self) -> None:
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM:
            raise Malformed("too many interim responses")
