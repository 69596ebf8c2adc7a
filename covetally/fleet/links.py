"""The links that instances hold to the agent: let in, greeted, bounded, ended.

Nobody here trusts an instance. A link that says nothing is ended after HANDSHAKE_TIMEOUT_S, and of those that
have said nothing only so many are held; one that sends what cannot be read, too much or too fast, or does not
read what it is sent, is ended; none of them can hold up another.
"""

from __future__ import annotations

import asyncio
import logging
import os
from pathlib import Path
from typing import Any, Protocol

from covetally.control.orders import NO_ORDERS, Orders
from covetally.control.protocol import HANDSHAKE_TIMEOUT_S, Decoder, Message, ProtocolError, encode, pick_version

log = logging.getLogger(__name__)

MAX_SILENT = 1024  # links that have not said hello; past that the oldest of them goes
MAX_UNSENT = 4 * 1024 * 1024
BURST, PER_S = 400.0, 50.0  # messages of one link
BACKLOG = 4096  # thousands may come back at once


class Owner(Protocol):
    """What the agent does with links."""

    def admit(self, link: Link, hello: Message) -> str | None:
        """Let a named instance in, or say why not. None: it will be told later (`Link.welcome`, `Link.deny`)."""

    def received(self, link: Link, message: Message) -> None:
        """A message of an instance that was let in."""

    def ended(self, link: Link, reason: str) -> None:
        """The link of an instance that was let in has ended."""


class Link(asyncio.Protocol):
    """One instance's link."""

    def __init__(self, links: Links, tcp: bool) -> None:
        self._links = links
        self.tcp = tcp
        self.name = ""
        self.hello: Message = {}
        self.let_in = False
        self.closed = False
        self._decoder = Decoder()
        self._transport: Any = None
        self._timer: asyncio.TimerHandle | None = None
        self._allowed, self._allowed_at = BURST, 0.0
        self._reason = "the instance closed the link"

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._allowed_at = loop.time()
        self._timer = loop.call_later(HANDSHAKE_TIMEOUT_S, self.end, "said no hello in time")
        self._links.came(self)

    def data_received(self, data: bytes) -> None:
        if self.closed:
            return
        try:
            for message in self._decoder.feed(data):
                self._take(message)
                if self.closed:
                    return
        except ProtocolError as error:
            self.end(f"sent what cannot be read: {error}")

    def _take(self, message: Message) -> None:
        now = asyncio.get_running_loop().time()
        self._allowed = min(BURST, self._allowed + (now - self._allowed_at) * PER_S) - 1.0
        self._allowed_at = now
        if self._allowed < 0:
            raise ProtocolError("too many messages")
        if self.let_in:
            self._links.owner.received(self, message)
        elif self.hello or message["t"] != "hello":
            raise ProtocolError(f"{message['t']} before its hello was answered")
        else:
            self._greet(message)

    def _greet(self, hello: Message) -> None:
        version = pick_version(hello["versions"])
        self.hello, self.name = hello | {"picked": version}, hello["name"]
        if not 0 < len(self.name) <= 63 or not self.name.isprintable() or "/" in self.name:
            raise ProtocolError("no name")
        reason = self._links.owner.admit(self, self.hello)
        if reason:
            self.deny(reason)

    def welcome(self, orders: Orders = NO_ORDERS) -> None:
        """Let it in, and say what an operator has ordered of it."""
        self.let_in = True
        self._links.greeted(self)
        if self._timer is not None:
            self._timer.cancel()
        wanted = {"orders": orders.as_dict()} if orders.revision else {}
        self.send({"t": "welcome", "version": self.hello["picked"]} | wanted)

    def deny(self, reason: str) -> None:
        """Say why it is not let in, and end."""
        log.warning("%s is not let in: %s", self.name, reason)
        self.send({"t": "deny", "reason": reason})
        self._reason = f"denied: {reason}"
        self.closed = True
        self._transport.close()

    def send(self, message: Message) -> bool:
        """Queue a message; False if the link is ending."""
        if self.closed or self._transport.is_closing():
            return False
        if self._transport.get_write_buffer_size() > MAX_UNSENT:
            self.end("does not read what it is sent")
            return False
        self._transport.write(encode(message))
        return True

    def end(self, reason: str) -> None:
        """End it now."""
        if not self.closed:
            self._reason, self.closed = reason, True
            log.info("link of %s ended: %s", self.name or "nobody", reason)
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._links.went(self)
        if self.let_in:
            self._links.owner.ended(self, self._reason if exc is None else f"{self._reason} ({exc})")


class Links:
    """All of them, and the listeners they come by."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self._silent: dict[Link, None] = {}  # have not been let in, in the order of coming
        self._servers: list[asyncio.Server] = []

    async def listen_unix(self, path: Path) -> None:
        """Listen on a socket that only its owner may use."""
        path.unlink(missing_ok=True)
        mask = os.umask(0o177)
        try:
            loop = asyncio.get_running_loop()
            server = await loop.create_unix_server(lambda: Link(self, False), path, backlog=BACKLOG)
        finally:
            os.umask(mask)
        self._servers.append(server)

    async def listen_tcp(self, host: str, port: int) -> int:
        """Listen on an address; returns the port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Link(self, True), host, port, backlog=BACKLOG)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def came(self, link: Link) -> None:
        """A link is up."""
        self._silent[link] = None
        if len(self._silent) > MAX_SILENT:
            next(iter(self._silent)).end("too many that say nothing")

    def greeted(self, link: Link) -> None:
        """A link was let in."""
        self._silent.pop(link, None)

    def went(self, link: Link) -> None:
        """A link has ended."""
        self._silent.pop(link, None)

    def close(self) -> None:
        """Let nobody in any more."""
        for server in self._servers:
            server.close()
