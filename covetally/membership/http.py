"""HTTP/1.1 calls to a registry over one persistent connection, limited in time, size and redirects.

Of `net` it uses the sockets and the parser of the request path, and how long a connection is idle before reuse.
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
from covetally.net.reuse_guard import CAUTIOUS_IDLE_S
from covetally.operator.url import Url, split_url

MAX_REDIRECTS = 3
REDIRECT_STATUSES = (301, 302, 303, 307, 308)
CHUNK_BYTES = 16 * 1024  # handled before the event loop may serve requests again
CALL_ERRORS = (OSError, Malformed, TimeoutError)


class UnexpectedStatus(Broken):
    """An answer with an unusable `status`."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_credentials(path: str) -> bytes:
    """The Authorization header's value (RFC 7617) from a file whose first line is USER:PASSWORD.

    Raises OSError or ValueError if the file cannot be used.
    """
    line = Path(path).read_text(encoding="utf-8").partition("\n")[0].strip()
    if ":" not in line:
        raise ValueError(f"{path}: its first line is not USER:PASSWORD")
    return b"Basic " + base64.b64encode(line.encode())


class RegistryResponse:
    """An answer whose head has arrived; `body` reads and decodes the rest in chunks."""

    def __init__(
        self, status: int, headers: Headers, client: HttpClient, stream: AsyncConnection, max_bytes: int
    ) -> None:
        self.status = status
        self._headers = dict(headers)
        self._client, self._stream, self._max_bytes = client, stream, max_bytes

    def header(self, name: bytes) -> str:
        """A header's value by its name in lower case, empty if absent."""
        return self._headers.get(name, b"").decode("latin-1")

    def date_ms(self) -> int | None:
        """The time in the Date header in ms since the epoch; None if there is no valid one."""
        try:
            return int(parsedate_to_datetime(self.header(b"date")).timestamp() * 1000)
        except (ValueError, TypeError, IndexError, OverflowError):
            return None

    async def body(self) -> AsyncIterator[bytes]:
        """The decompressed body in chunks; yields to the event loop after each. Malformed if it is too long."""
        gzipped = self.header(b"content-encoding").lower() in ("gzip", "x-gzip")
        decompressor = zlib.decompressobj(16 + zlib.MAX_WBITS) if gzipped else None
        received = 0
        while isinstance(event := await self._stream.next_event(), bytes):
            remaining = event
            while remaining:
                if decompressor is None:
                    chunk, remaining = remaining[:CHUNK_BYTES], remaining[CHUNK_BYTES:]
                else:
                    try:
                        chunk, remaining = (
                            decompressor.decompress(remaining, CHUNK_BYTES),
                            decompressor.unconsumed_tail,
                        )
                    except zlib.error as error:
                        raise Malformed(f"gzip: {error}") from None
                received += len(chunk)
                if received > self._max_bytes:
                    raise Malformed(f"the answer is over {self._max_bytes} bytes")
                if chunk:
                    yield chunk
                await asyncio.sleep(0)
                if decompressor is not None and decompressor.eof:
                    break
        if event is not End.MESSAGE:
            raise Broken("the connection ended within an answer")
        if decompressor is not None and not decompressor.eof:
            raise Broken("the gzip data is truncated")
        self._client.release(self._stream)

    async def discard(self) -> None:
        """Reads the body and discards it."""
        async for _ in self.body():
            pass


class HttpClient:
    """Makes calls over one connection at a time, which is kept while they go to the same origin."""

    def __init__(self, max_bytes: int, authorization: bytes = b"") -> None:
        self._max_bytes = max_bytes
        self.authorization = authorization
        self._stream: AsyncConnection | None = None
        self._origin: tuple[str, int] | None = None
        self._idle_since = 0.0  # on the loop's clock
        self.calls = self.connections = 0

    async def call(
        self, method: str, base: Url, path: str, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()
    ) -> RegistryResponse:
        """Makes a call. Follows up to MAX_REDIRECTS redirects, sends credentials only to the origin of `base`.

        Raises one of CALL_ERRORS if there is no answer. The caller sets the time limit, reads the body, and calls
        `close` if anything fails.
        """
        target = str(base) + path
        for _ in range(MAX_REDIRECTS + 1):
            url = split_url(target.partition("?")[0])
            query = "?" + target.partition("?")[2] if "?" in target else ""
            response = await self._send(method, url, query, body, headers, url.origin == base.origin)
            if response.status not in REDIRECT_STATUSES:
                return response
            await response.discard()
            target = urljoin(target, response.header(b"location"))
            try:
                split_url(target.partition("?")[0])
            except ValueError as error:
                raise Broken(f"redirected to an unusable URL: {error}") from None
        raise Broken(f"redirected more than {MAX_REDIRECTS} times")

    async def _send(
        self,
        method: str,
        url: Url,
        query: str,
        body: bytes,
        extra_headers: tuple[tuple[str, str], ...],
        send_credentials: bool,
    ) -> RegistryResponse:
        host = str(url).removeprefix("http://").partition("/")[0]
        headers = [(b"host", host.encode()), (b"accept-encoding", b"gzip")]
        headers += [(name.encode(), value.encode()) for name, value in extra_headers]
        if self.authorization and send_credentials:
            headers.append((b"authorization", self.authorization))
        if body or method != "GET":
            headers.append((b"content-length", b"%d" % len(body)))
        request_line = f"{method} {url.path or '/'}{query} HTTP/1.1".encode()
        stream = await self._connection_to(url.origin)
        self.calls += 1
        await stream.write(encode(request_line, headers, body))
        head = await stream.next_event()
        while isinstance(head, ResponseHead) and head.status < 200:
            head = await stream.next_event()
        if not isinstance(head, ResponseHead):
            raise Broken("the connection ended before an answer")
        return RegistryResponse(head.status, head.headers, self, stream, self._max_bytes)

    async def _connection_to(self, origin: tuple[str, int]) -> AsyncConnection:
        stream = self._stream
        if stream is not None and self._origin == origin:
            # A second answer that comes late must not be read as the next call's answer.
            await asyncio.sleep(self._idle_since + CAUTIOUS_IDLE_S - asyncio.get_running_loop().time())
        if stream is not None and (self._origin != origin or stream.has_input()):
            await self.close()
            stream = None
        if stream is None:
            self.connections += 1
            stream = await AsyncConnection.connect(origin)
        self._stream, self._origin = stream, origin
        return stream

    def release(self, stream: AsyncConnection) -> None:
        """Keeps the connection for the next call after an answer was read completely, if it can be reused."""
        self._idle_since = asyncio.get_running_loop().time()
        if stream is self._stream and not stream.prepare_next_message():
            self._stream = None
            stream.close()

    async def close(self) -> None:
        """Closes the connection, also during a call."""
        if self._stream is not None:
            stream, self._stream = self._stream, None
            stream.close()


async def fetch_status(address: tuple[str, int], path: str, timeout_s: float) -> int:
    """The status of a GET of the path, 0 if no answer comes in time.

    Uses a new connection, since an answer on an existing one would not show that connections are accepted.
    """
    stream = None
    try:
        async with asyncio.timeout(timeout_s):
            stream = await AsyncConnection.connect(address)
            host = f"{address[0]}:{address[1]}".encode()
            request_line = f"GET {path} HTTP/1.1".encode()
            await stream.write(encode(request_line, [(b"host", host), (b"connection", b"close")], b""))
            head = await stream.next_event()
    except CALL_ERRORS:
        return 0
    finally:
        if stream is not None:
            stream.close()
    return head.status if isinstance(head, ResponseHead) else 0
