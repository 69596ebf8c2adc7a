"""The application's side: the listener, its connections, admission, and the drain at the end."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import socket
import time
from urllib.parse import parse_qs

import h11

from covetally.interface import SECOND, Accept, Settings
from covetally.net.budget import BodyBudget, Hold
from covetally.net.sidecar import Sidecar
from covetally.net.stream import HELD, Answer, Headers, Stream, end_to_end
from covetally.net.upstream import Request

log = logging.getLogger(__name__)

READY_PATH = b"/_health"
BACKLOG = 4096  # a crowd waits here while it is let in
ACCEPT_BURST = 32  # connections let in at a time, so that a crowd does not hold up those inside
ACCEPT_PAUSE_S = 0.02  # when the process or the machine has no descriptor left
RECEIVE_BUFFER = 64 * 1024  # kernel's, for each connection: what lies there unread is already taken
MAX_BODY = 32 * 1024 * 1024
BODY_POOL = 40 * 1024 * 1024  # with MAX_BODY in reserve: well under half of the 192 MB of a rough day
STALL_S = 15.0  # a client that neither sends nor reads for so long in the middle of a message is gone
ACCEPT_ON_S = 0.5  # after SIGTERM: the platform sends new connections for up to 0.4 s
HALF_SENT_S = 0.2  # after that, for requests that are still coming
MAX_COST_NS = 60 * SECOND  # no hint of more work than this is believed
TEXT = [(b"content-type", b"text/plain")]


class _Rejected(Exception):
    """A request that cannot be taken: nothing of it is sent on."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def read_arrival(settings: Settings, request: Request, age_ns: int) -> Accept:
    """The module's event for a request whose last byte came so long ago."""
    headers = dict(request.headers)
    name = headers.get(b"x-qos", b"").decode("latin-1")
    number = next((i for i, c in enumerate(settings.classes) if c.name == name), -1)
    customer = headers.get(b"x-customer", b"").decode("latin-1")
    deadline_ns = settings.classes[max(number, 0)].deadline_ns
    expires_ns = _number(headers.get(b"x-expires-in")) * SECOND
    ttl_ns = min(int(expires_ns), deadline_ns) if expires_ns > 0 else deadline_ns
    query = request.target.partition(b"?")[2].decode("latin-1")
    return Accept(
        tid="",
        cls=number,
        ttl_ns=max(ttl_ns - age_ns, 1),
        cost_ns=min(int(_number(headers.get(b"x-size-hint")) * 1000), MAX_COST_NS),
        tenant=next((i for i, t in enumerate(settings.tenants) if t.name == customer), -1),
        key=parse_qs(query).get("sid", [""])[0],
        retry=headers.get(b"x-second-try") == b"1",
    )


def _number(text: bytes | None) -> float:
    """A number above 0, else 0: what cannot be read counts as not told."""
    try:
        value = float(text or b"0")
    except ValueError:
        return 0.0
    return value if math.isfinite(value) and value > 0 else 0.0


class Frontend:
    """Lets clients in under a budget of descriptors and sees each connection through."""

    def __init__(self, settings: Settings, sidecar: Sidecar, limit: int) -> None:
        self.settings = settings
        self.sidecar = sidecar
        self.budget = BodyBudget(BODY_POOL)
        self.draining = False
        self._limit = limit
        self._clients: dict[_Client, asyncio.Task[None]] = {}
        self._waiting: dict[_Client, None] = {}  # with no request taken, longest idle first
        self._listener: socket.socket
        self._accepting = False
        self._drained = asyncio.Event()

    # --- letting in -----------------------------------------------------------------------------

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Bind and begin to accept; OSError if the address cannot be had. Returns the address."""
        self._listener = socket.create_server(address, backlog=BACKLOG)
        self._listener.setblocking(False)
        # Inherited by each connection. A large one would let requests count as taken that nobody has read.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self._resume()
        return self._listener.getsockname()

    def _resume(self) -> None:
        if not self._accepting and self._listener.fileno() >= 0:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _pause(self) -> None:
        self._accepting = False
        asyncio.get_running_loop().remove_reader(self._listener)

    def _accept(self) -> None:
        for _ in range(ACCEPT_BURST):
            if not self._let_in():
                return

    def _let_in(self) -> bool:
        """Let one connection in; False if there is none, or no room for it."""
        if len(self._clients) >= self._limit and not self._evict():
            self._pause()  # every connection has a request under way; the first to end makes room
            return False
        try:
            sock, _ = self._listener.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                return True  # that one connection is gone
            # The listener stays readable: without a pause the loop would spin on it and serve nobody.
            log.warning("cannot accept: %s", error)
            self._evict()
            self._pause()
            asyncio.get_running_loop().call_later(ACCEPT_PAUSE_S, self._resume)
            return False
        sock.setblocking(False)
        client = _Client(self, sock)
        self._waiting[client] = None
        task = asyncio.create_task(client.run())
        self._clients[client] = task
        task.add_done_callback(lambda task: self._ended(client, task))
        return True

    def _evict(self) -> bool:
        """Close the connection that has been idle longest; one with a request taken never."""
        if not self._waiting:
            return False
        client = next(iter(self._waiting))
        del self._waiting[client], self._clients[client]
        client.close()
        return True

    def _ended(self, client: _Client, task: asyncio.Task[None]) -> None:
        self._clients.pop(client, None)
        self._waiting.pop(client, None)
        if not task.cancelled() and (error := task.exception()):
            log.error("a connection failed by a bug", exc_info=error)
        if not self._clients:
            self._drained.set()
        self._resume()

    # --- what connections tell ------------------------------------------------------------------

    def active(self, client: _Client) -> None:
        """It has done something, or has no request under way any more: last in the order of idleness."""
        if client in self._clients:
            self._waiting.pop(client, None)
            self._waiting[client] = None
            self._resume()

    def busy(self, client: _Client) -> None:
        """Its request is taken: it must not be closed."""
        self._waiting.pop(client, None)

    # --- the end --------------------------------------------------------------------------------

    async def drain(self, within_s: float) -> None:
        """Finish what was taken. New connections go on coming for a while and are served too."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        self.draining = True
        self._close_waiting(idle_only=True)  # early: a request that crosses this finds the listener open
        await asyncio.sleep(ACCEPT_ON_S)
        self._pause()
        while self._let_in():  # what waits in the backlog has been taken by this machine
            pass
        self._listener.close()
        await asyncio.sleep(HALF_SENT_S)
        self._close_waiting(idle_only=False)
        if self._clients:
            self._drained.clear()
            try:
                async with asyncio.timeout_at(end):
                    await self._drained.wait()
            except TimeoutError:
                log.warning("drain: %d connections cut off", len(self._clients))
        for client in list(self._clients):
            client.close(reset=True)

    def _close_waiting(self, idle_only: bool) -> None:
        for client in list(self._waiting):
            if not (idle_only and client.in_message):
                client.close()


class _Client:
    """One connection of the application, and the exchange that is under way on it."""

    request: Request

    def __init__(self, frontend: Frontend, sock: socket.socket) -> None:
        self._frontend = frontend
        self._sock = sock
        self._stream: Stream | None = None
        self._closing = False
        self._hold = Hold(frontend.budget)
        self._tid: str | None = None
        self._result: asyncio.Future[Answer | bool]
        self.in_message = True  # of a new connection nobody knows yet

    @property
    def stream(self) -> Stream:
        assert self._stream is not None
        return self._stream

    def close(self, reset: bool = False) -> None:
        """Close at once; `run` meets the end and returns."""
        self._closing = True
        if self._stream is not None:  # else asyncio is about to own the socket, and `run` closes it then
            self._stream.abort(reset)

    async def run(self) -> None:
        """Serve the connection until it ends."""
        try:
            self._stream = await Stream.open(h11.SERVER, self._sock)
        except OSError:
            self._sock.close()
            return
        self._stream.on_news = self._news
        try:
            while not self._closing and await self._serve_one():
                self._frontend.active(self)
        except OSError:
            pass  # the client is gone; what there was to tell has been told by `_news`
        finally:
            self._hold.release()
            self._hang_up()
            self.stream.abort()

    def _news(self) -> None:
        if self._tid is None:
            if not self.stream.ended:
                self.in_message = True
                self._frontend.active(self)
        elif self.stream.ended:
            self._hang_up()

    def _hang_up(self) -> None:
        """The client went away in the middle of an exchange."""
        if self._tid is not None:
            tid, self._tid = self._tid, None
            self._frontend.sidecar.hang_up(tid)
            if not self._result.done():
                self._result.set_result(False)

    # --- a request ------------------------------------------------------------------------------

    async def _serve_one(self) -> bool:
        """One request and its answer; whether the connection can carry another."""
        try:
            head = await self.stream.next_event()
            if not isinstance(head, h11.Request):
                return False
            self.request = await self._read_request(head)
        except h11.RemoteProtocolError as error:
            await self._reject(error.error_status_hint, str(error))
            return False
        except _Rejected as error:
            await self._reject(error.status, str(error))
            return False
        if self.stream.ended:
            return False
        if self.request.target.partition(b"?")[0] == READY_PATH:
            status = 503 if self._frontend.draining else 200
            return await self._answer(Answer(status, TEXT, b"draining\n" if status == 503 else b"ok\n"))
        self._frontend.busy(self)
        self._result = asyncio.get_running_loop().create_future()
        age_ns = time.monotonic_ns() - self.stream.received_at
        arrival = read_arrival(self._frontend.settings, self.request, age_ns)
        self._tid = self._frontend.sidecar.take(self, arrival)
        result = await self._result
        self._tid = None
        self._hold.release()
        if isinstance(result, Answer):
            return await self._answer(result)
        if not result:
            # Whatever the framing, a reset tells the client that the answer is not whole.
            self.stream.abort(reset=True)
            return False
        return await self._next()

    async def _read_request(self, head: h11.Request) -> Request:
        stream, blocks, size = self.stream, list[bytearray](), 0
        if head.method == b"CONNECT":
            raise _Rejected(405, "no tunnels here")
        if stream.http.they_are_waiting_for_100_continue:
            await stream.write(stream.encode(h11.InformationalResponse(status_code=100, headers=[])))
        self._hold = Hold(self._frontend.budget)
        while True:
            async with asyncio.timeout(STALL_S):
                event = await stream.next_event()
            if not isinstance(event, h11.Data):
                break
            size += len(event.data)
            if size > MAX_BODY:
                raise _Rejected(413, "body too long")
            await self._hold.grow(len(event.data))
            if not blocks or len(blocks[-1]) >= HELD:
                blocks.append(bytearray())
            blocks[-1] += event.data  # in blocks, since a client may send a byte at a time
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionError("the client left inside its request")
        return Request(head.method, head.target, end_to_end(head.headers), blocks, size)

    # --- the answer -----------------------------------------------------------------------------

    def finish(self, answer: Answer) -> None:
        """Give the whole answer (see `Exchange`)."""
        if not self._result.done():
            self._result.set_result(answer)

    def end(self, whole: bool) -> None:
        """End an answer that was passed on by pieces (see `Exchange`)."""
        if not self._result.done():
            self._result.set_result(whole)

    async def begin(self, answer: Answer, length: int | None) -> None:
        """Send the head of a long answer (see `Sink`)."""
        framing = [(b"content-length", b"%d" % length)] if length is not None else []
        await self._pass_on(self._head(answer.status, answer.headers + framing))

    async def write(self, data: bytes) -> None:
        """Pass on a piece of a long answer, at the client's pace (see `Sink`)."""
        await self._pass_on(h11.Data(data=data))

    async def _pass_on(self, event: h11.Event) -> None:
        try:
            async with asyncio.timeout(STALL_S):
                await self.stream.write(self.stream.encode(event))
        except OSError:  # the client's end, not the server's: it must not pass for a broken answer
            self._hang_up()  # calls off the attempt that is running this
            await asyncio.sleep(0)

    def _head(self, status: int, headers: Headers) -> h11.Response:
        if self._frontend.draining:
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(status_code=status, headers=headers)

    async def _answer(self, answer: Answer) -> bool:
        """Send a whole answer; whether the connection can carry another request."""
        headers = [*answer.headers, (b"content-length", b"%d" % len(answer.body))]
        stream = self.stream
        data = stream.encode(self._head(answer.status, headers), h11.Data(data=answer.body))
        async with asyncio.timeout(STALL_S):
            await stream.write(data)
        return await self._next()

    async def _next(self) -> bool:
        """End the answer's message; whether the connection can carry another request."""
        stream = self.stream
        async with asyncio.timeout(STALL_S):
            await stream.write(stream.encode(h11.EndOfMessage()))
        if not self._frontend.draining and stream.recycle():
            self.in_message = stream.leftover
            return True
        self._frontend.busy(self)
        await stream.finish()
        return False

    async def _reject(self, status: int, reason: str) -> None:
        """Answer what cannot be taken, and close."""
        log.warning("request rejected with %d: %.200s", status, reason)
        headers = [*TEXT, (b"connection", b"close")]
        if self.stream.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            async with asyncio.timeout(STALL_S):
                await self.stream.write(
                    self.stream.encode(
                        h11.Response(status_code=status, headers=headers),
                        h11.Data(data=reason.encode("ascii", "replace") + b"\n"),
                        h11.EndOfMessage(),
                    )
                )
        await self.stream.finish()
