"""The heads of requests: what servers cannot use, or might read in another way, is turned away here."""

from __future__ import annotations

import re
from urllib.parse import parse_qs

from covetally.interface import SECOND, Settings
from covetally.net.http_message import HOP_BY_HOP, MAX_BODY, Fields, Headers, RequestHead, end_to_end
from covetally.net.sidecar import Arrival

READY_PATH = b"/_health"
MAX_COST_NS = 60 * SECOND  # no hint of more work than this is believed
SIMPLE_GET = re.compile(  # one whole request without a body that lets the connection be, in lower case
    rb"get /(?!_health)[!-~]* http/1\.1\r\n"
    rb"(?:(?!content-length|transfer-encoding|expect|connection|upgrade)[!#$%&'*+.^_`|~0-9a-z-]+:[ -~]*\r\n)+\r\n"
)
_FRAMING = (b"content-length", b"transfer-encoding")
_TRACE_ID = re.compile(rb"[!-~]{1,128}").fullmatch
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,18})?").fullmatch


class Rejected(Exception):
    """A request that cannot be taken: nothing of it is sent on."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def _number(text: bytes) -> float:
    """A number above 0, else 0: what cannot be read counts as not told."""
    return float(text) if _DECIMAL(text) else 0.0


def _sid(target: bytes) -> str:
    """What the request is about: the query's parameter `sid`, empty where it has none."""
    query = target.partition(b"?")[2]
    if query.startswith(b"sid=") and query[4:].isalnum():
        return query[4:].decode("ascii")  # as nearly all are: one field, and nothing in it is quoted
    if not query:
        return ""
    try:
        return parse_qs(query.decode("latin-1"), max_num_fields=64).get("sid", [""])[0]
    except ValueError:  # more fields than that
        return ""


class RequestValidator:
    """Reads the heads of requests.

    Guards against requests that servers cannot use, or might read in another way than this sidecar: `read`
    raises Rejected on any head that is not of the protocol's form, before its body is read. It ought to
    catch whatever would reach a server as somebody else's request. It does harm to clients that bend the
    form, as with a body under GET or with a class that this sidecar has not been told of.
    """

    def __init__(self, settings: Settings) -> None:
        self._classes = {c.name.encode(): (i, c) for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def validate(self, head: RequestHead) -> tuple[Headers, Arrival | None, bytes]:
        """The headers to pass on, what the module is told, and the request's id; nothing for the module where it
        is asked whether it is ready."""
        method, target, raw, values = head
        if len(values) == len(raw) and HOP_BY_HOP.isdisjoint(values) and method == b"GET":
            headers, twice = raw, b""  # as most are: no body, nothing told twice, nothing for this hop
        else:
            headers, values, twice = _for_the_far_end(head)
        if target.startswith(READY_PATH) and target.partition(b"?")[0] == READY_PATH:
            return headers, None, b""
        if twice:
            raise Rejected(400, f"{twice.decode()} told twice")
        find = values.get
        if b"host" not in values:
            raise Rejected(400, "no Host")
        trace_id = find(b"x-trace-id", b"")
        if not _TRACE_ID(trace_id):
            raise Rejected(400, "no readable X-Trace-Id")
        number, cls = self._classes.get(find(b"x-qos", b""), (-1, None))
        if cls is None:
            raise Rejected(400, "X-Qos names no class")
        if cls.repeat == "guarded" and not find(b"idempotency-key"):
            raise Rejected(400, "no Idempotency-Key, which this class has to have")
        expires_s = _number(find(b"x-expires-in", b""))
        if not expires_s:
            raise Rejected(400, "X-Expires-In is not a number above 0")
        ttl_ns, hint = int(expires_s * SECOND), find(b"x-size-hint")
        arrival = Arrival(
            number,
            ttl_ns if ttl_ns < cls.deadline_ns else cls.deadline_ns,
            min(int(_number(hint) * 1000), MAX_COST_NS) if hint else 0,
            self._tenants.get(find(b"x-customer", b""), -1),
            _sid(target),
            find(b"x-second-try") == b"1",
        )
        return headers, arrival, trace_id


def _for_the_far_end(head: RequestHead) -> tuple[Headers, Fields, bytes]:
    """The headers to pass on, those by name, and one that is told twice, if any: each hop might believe another
    one. Rejected on a framing that cannot be passed on."""
    method, _, raw, fields = head
    framing = {name: value for name, value in raw if name in _FRAMING}
    if len(framing) > 1:
        raise Rejected(400, "both Content-Length and Transfer-Encoding")
    if method not in (b"GET", b"POST"):
        raise Rejected(405, "neither GET nor POST")
    if b"transfer-encoding" in framing and method == b"GET":
        raise Rejected(400, "GET with a body")
    if int(framing.get(b"content-length", b"0")) > MAX_BODY:
        raise Rejected(413, "body too long")
    headers = end_to_end(raw, fields)  # Connection may name further headers that are not for the far end
    values, twice = dict(headers), b""
    if len(values) < len(headers):
        names = [name for name, _ in headers]
        twice = next(name for name in names if names.count(name) > 1)
    elif method == b"GET" and framing.get(b"content-length", b"0") != b"0":
        raise Rejected(400, "GET with a body")
    return headers, values, twice
