"""Calls to a registry over HTTP/1.1, on one kept connection, bounded in time, size and redirects.

The seam to `net` is `Waiting`: the sockets and the parser of the request path, nothing else of it.
"""

from __future__ import annotations

import asyncio
import base64
import zlib
from collections.abc import AsyncIterator
from email.utils import parsedate_to_datetime
from pathlib import Path
from urllib.parse import urljoin

from covetally.net.http_message import Broken, End, Headers, Malformed, ResponseHead, encode
from covetally.net.async_connection import AsyncConnection
from covetally.operator.url import Url, split_url

REDIRECTS = 3
REDIRECTED = (301, 302, 303, 307, 308)
SLICE = 16 * 1024  # bytes handled before requests may go on
FAILURES = (OSError, Malformed, TimeoutError)


class Refused(Broken):
    """An answer that is of no use; `status` is what it said."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def credentials(path: str) -> bytes:
    """The Authorization header's value (RFC 7617) from a file whose first line is USER:PASSWORD; OSError or
    ValueError where there is none."""
    line = Path(path).read_text(encoding="utf-8").partition("\n")[0].strip()
    if ":" not in line:
        raise ValueError(f"{path}: its first line is not USER:PASSWORD")
    return b"Basic " + base64.b64encode(line.encode())


class Answer:
    """An answer whose head has come; `body` reads the rest, decoded, in slices."""

    def __init__(self, status: int, headers: Headers, client: Http, stream: AsyncConnection, most: int) -> None:
        self.status = status
        self._headers = dict(headers)
        self._client, self._stream, self._most = client, stream, most

    def header(self, name: bytes) -> str:
        """A header's value by its name in lower case, empty if absent."""
        return self._headers.get(name, b"").decode("latin-1")

    def date_ms(self) -> int | None:
        """When the other side says that it answered, ms since the epoch."""
        try:
            return int(parsedate_to_datetime(self.header(b"date")).timestamp() * 1000)
        except (ValueError, TypeError, IndexError, OverflowError):
            return None

    async def body(self) -> AsyncIterator[bytes]:
        """The body in slices, unzipped, with a turn for the event loop after each; Malformed past the bound."""
        zipped = self.header(b"content-encoding").lower() in ("gzip", "x-gzip")
        unzip = zlib.decompressobj(16 + zlib.MAX_WBITS) if zipped else None
        passed = 0
        while isinstance(event := await self._stream.next_event(), bytes):
            rest = event
            while rest:
                if unzip is None:
                    piece, rest = rest[:SLICE], rest[SLICE:]
                else:
                    try:
                        piece, rest = unzip.decompress(rest, SLICE), unzip.unconsumed_tail
                    except zlib.error as error:
                        raise Malformed(f"gzip: {error}") from None
                passed += len(piece)
                if passed > self._most:
                    raise Malformed(f"an answer of over {self._most} bytes")
                if piece:
                    yield piece
                await asyncio.sleep(0)
                if unzip is not None and unzip.eof:
                    break
        if event is not End.MESSAGE:
            raise Broken("ended inside an answer")
        if unzip is not None and not unzip.eof:
            raise Broken("gzip cut off")
        self._client.give_back(self._stream)

    async def drop(self) -> None:
        """Read the body and forget it."""
        async for _ in self.body():
            pass


class Http:
    """One connection at a time, kept while calls go to the same place."""

    def __init__(self, most: int, authorization: bytes = b"") -> None:
        self._most = most
        self.authorization = authorization
        self._stream: AsyncConnection | None = None
        self._origin: tuple[str, int] | None = None
        self.calls = self.connections = 0

    async def call(
        self, method: str, base: Url, path: str, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()
    ) -> Answer:
        """Ask; redirects are followed, at most REDIRECTS of them, and credentials go to `base` alone.

        One of FAILURES if there is no answer. The caller sets the time limit, reads the body, and calls `close`
        if anything fails on the way."""
        target = str(base) + path
        for _ in range(REDIRECTS + 1):
            url = split_url(target.partition("?")[0])
            query = "?" + target.partition("?")[2] if "?" in target else ""
            answer = await self._once(method, url, query, body, headers, url.origin == base.origin)
            if answer.status not in REDIRECTED:
                return answer
            await answer.drop()
            target = urljoin(target, answer.header(b"location"))
            try:
                split_url(target.partition("?")[0])
            except ValueError as error:
                raise Broken(f"redirected to what is {error}") from None
        raise Broken(f"redirected more than {REDIRECTS} times")

    async def _once(
        self, method: str, url: Url, query: str, body: bytes, more: tuple[tuple[str, str], ...], trusted: bool
    ) -> Answer:
        host = str(url).removeprefix("http://").partition("/")[0]
        headers = [(b"host", host.encode()), (b"accept-encoding", b"gzip")]
        headers += [(name.encode(), value.encode()) for name, value in more]
        if self.authorization and trusted:
            headers.append((b"authorization", self.authorization))
        if body or method != "GET":
            headers.append((b"content-length", b"%d" % len(body)))
        first = f"{method} {url.path or '/'}{query} HTTP/1.1".encode()
        stream = await self._connected(url.origin)
        self.calls += 1
        await stream.write(encode(first, headers, body))
        head = await stream.next_event()
        while isinstance(head, ResponseHead) and head.status < 200:
            head = await stream.next_event()
        if not isinstance(head, ResponseHead):
            raise Broken("ended before an answer")
        return Answer(head.status, head.headers, self, stream, self._most)

    async def _connected(self, origin: tuple[str, int]) -> AsyncConnection:
        stream = self._stream
        if stream is not None and (self._origin != origin or stream.has_input()):
            await self.close()
            stream = None
        if stream is None:
            self.connections += 1
            stream = await AsyncConnection.connect(origin)
        self._stream, self._origin = stream, origin
        return stream

    def give_back(self, stream: AsyncConnection) -> None:
        """An answer was read to its end: keep the connection, if it may be kept."""
        if stream is self._stream and not stream.prepare_next_message():
            self._stream = None
            stream.close()

    async def close(self) -> None:
        """Close what is kept or under way."""
        if self._stream is not None:
            stream, self._stream = self._stream, None
            stream.close()


async def status_of(address: tuple[str, int], path: str, within_s: float) -> int:
    """The status that a GET of the path is answered with, 0 if no answer comes in time. It goes out on a
    connection of its own: a kept one would prove less."""
    stream = None
    try:
        async with asyncio.timeout(within_s):
            stream = await AsyncConnection.connect(address)
            host = f"{address[0]}:{address[1]}".encode()
            first = f"GET {path} HTTP/1.1".encode()
            await stream.write(encode(first, [(b"host", host), (b"connection", b"close")], b""))
            head = await stream.next_event()
    except FAILURES:
        return 0
    finally:
        if stream is not None:
            stream.close()
    return head.status if isinstance(head, ResponseHead) else 0
