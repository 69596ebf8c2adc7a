"""Validates the heads of requests: rejects what servers cannot process or might interpret differently."""

from __future__ import annotations

import re
from collections import Counter
from hashlib import blake2b
from urllib.parse import parse_qs

from covetally.interface import SECOND, Settings
from covetally.net.http_message import HOP_BY_HOP, MAX_BODY, Fields, Headers, RequestHead, end_to_end
from covetally.net.sidecar import RequestInfo

READY_PATH = b"/_health"
MAX_KEY_LENGTH = 64  # characters
MAX_COST_NS = 60 * SECOND  # larger size hints of clients are cut to this
SIMPLE_GET = re.compile(  # one complete request without a body or connection options, in lower case
    rb"get /(?!_health)[!-~]* http/1\.1\r\n"
    rb"(?:(?!content-length|transfer-encoding|expect|connection|upgrade)[!#$%&'*+.^_`|~0-9a-z-]+:[ -~]*\r\n)+\r\n"
)
_FRAMING = (b"content-length", b"transfer-encoding")
_TRACE_ID = re.compile(rb"[!-~]{1,128}").fullmatch
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,18})?").fullmatch


class Rejected(Exception):
    """The request is invalid or cannot be accepted; nothing of it is forwarded."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def _positive_number(text: bytes) -> float:
    """Parse a positive number; 0 if it is invalid, as if the header were missing."""
    return float(text) if _DECIMAL(text) else 0.0


def _session_key(target: bytes) -> str:
    """The key of the request: the query parameter `sid`, empty if there is none. A long one is replaced by its
    hash: the balancer keeps thousands of keys."""
    query = target.partition(b"?")[2]
    if query.startswith(b"sid=") and query[4:].isalnum():
        key = query[4:].decode("ascii")  # the usual case: one field without escapes
    elif not query:
        return ""
    else:
        try:
            key = parse_qs(query.decode("latin-1"), max_num_fields=64).get("sid", [""])[0]
        except ValueError:  # too many fields
            return ""
    if len(key) > MAX_KEY_LENGTH:
        return blake2b(key.encode("utf-8", "replace"), digest_size=16).hexdigest()
    return key


class RequestValidator:
    """Validates request heads and extracts what the balancer needs.

    Guards against requests that servers cannot process, or might interpret differently from this sidecar (request
    smuggling): `validate` raises Rejected on every head that does not follow the protocol, before the body is
    read. Harms clients that deviate from the protocol, for example with a body in a GET, or with a class that is
    not configured in this sidecar.
    """

    def __init__(self, settings: Settings) -> None:
        self._classes = {c.name.encode(): (i, c) for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def validate(self, head: RequestHead) -> tuple[Headers, RequestInfo | None, bytes]:
        """The headers to forward, the parameters of the request for the balancer, and its id. The parameters are
        None for a request of the health check."""
        method, target, raw, values = head
        if len(values) == len(raw) and HOP_BY_HOP.isdisjoint(values) and method == b"GET":
            headers, duplicate = raw, b""  # the usual case: no body, no duplicate and no hop-by-hop headers
        else:
            headers, values, duplicate = _forwarded_headers(head)
        if target.startswith(READY_PATH) and target.partition(b"?")[0] == READY_PATH:
            return headers, None, b""
        if duplicate:
            raise Rejected(400, f"{duplicate.decode()} sent more than once")
        get = values.get
        if b"host" not in values:
            raise Rejected(400, "Host header missing")
        trace_id = get(b"x-trace-id", b"")
        if not _TRACE_ID(trace_id):
            raise Rejected(400, "X-Trace-Id missing or invalid")
        index, cls = self._classes.get(get(b"x-qos", b""), (-1, None))
        if cls is None:
            raise Rejected(400, "X-Qos missing or not a configured class")
        if cls.repeat == "guarded" and not get(b"idempotency-key"):
            raise Rejected(400, "Idempotency-Key missing, which this class requires")
        expires_s = _positive_number(get(b"x-expires-in", b""))
        if not expires_s:
            raise Rejected(400, "X-Expires-In missing or not a positive number")
        ttl_ns, hint = int(expires_s * SECOND), get(b"x-size-hint")
        request_info = RequestInfo(
            index,
            ttl_ns if ttl_ns < cls.deadline_ns else cls.deadline_ns,
            min(int(_positive_number(hint) * 1000), MAX_COST_NS) if hint else 0,
            self._tenants.get(get(b"x-customer", b""), -1),
            _session_key(target),
            get(b"x-second-try") == b"1",
        )
        return headers, request_info, trace_id


def _forwarded_headers(head: RequestHead) -> tuple[Headers, Fields, bytes]:
    """The headers to forward, the same by name, and the name of a duplicate header, if any: the next hop might
    use the other value. Rejected if the framing cannot be forwarded."""
    method, _, raw, fields = head
    framing = {name: value for name, value in raw if name in _FRAMING}
    if len(framing) > 1:
        raise Rejected(400, "both Content-Length and Transfer-Encoding")
    if method not in (b"GET", b"POST"):
        raise Rejected(405, "method is neither GET nor POST")
    if b"transfer-encoding" in framing and method == b"GET":
        raise Rejected(400, "GET request with a body")
    if int(framing.get(b"content-length", b"0")) > MAX_BODY:
        raise Rejected(413, "request body too long")
    headers = end_to_end(raw, fields)  # also drops the headers that Connection names
    values, duplicate = dict(headers), b""
    if len(values) < len(headers):
        counts = Counter(name for name, _ in headers)
        duplicate = next(name for name, count in counts.items() if count > 1)
    elif method == b"GET" and framing.get(b"content-length", b"0") != b"0":
        raise Rejected(400, "GET request with a body")
    return headers, values, duplicate
