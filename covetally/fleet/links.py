"""The connections ("links") of instances to the agent: handshake, limits and closing.

Instances are not trusted. A link that has not been accepted within HANDSHAKE_TIMEOUT_S is closed, and at most
MAX_PENDING_LINKS links may be waiting to be accepted. A link that sends invalid, oversized or too many messages,
or does not read what is sent to it, is closed as well. No link can delay another.
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

MAX_PENDING_LINKS = 1024  # links not yet accepted; beyond this the oldest of them is closed
MAX_UNSENT_BYTES = 4 * 1024 * 1024
MAX_BURST, MESSAGES_PER_S = 400.0, 50.0  # token bucket for the messages of one link
BACKLOG = 4096  # thousands of instances may reconnect at the same time


class LinkHandler(Protocol):
    """The callbacks for events on links, implemented by the agent."""

    def admit(self, link: Link, hello: Message) -> str | None:
        """Decide on the hello of an instance.

        Returns the reason to deny it, or None if the handler calls `Link.welcome` or `Link.deny` itself, now or
        later.
        """

    def received(self, link: Link, message: Message) -> None:
        """Handle a message of an accepted instance."""

    def ended(self, link: Link, reason: str) -> None:
        """Handle the end of an accepted instance's link."""


class Link(asyncio.Protocol):
    """The link of one instance."""

    def __init__(self, links: Links, tcp: bool) -> None:
        self._links = links
        self.tcp = tcp
        self.name = ""
        self.hello: Message = {}
        self.accepted = False
        self.closed = False
        self._decoder = Decoder()
        self._transport: Any = None
        self._timer: asyncio.TimerHandle | None = None
        self._message_budget, self._budget_updated = MAX_BURST, 0.0
        self._reason = "the instance closed the link"

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._budget_updated = loop.time()
        self._timer = loop.call_later(HANDSHAKE_TIMEOUT_S, self.end, "sent no hello in time")
        self._links.link_opened(self)

    def data_received(self, data: bytes) -> None:
        if self.closed:
            return
        try:
            for message in self._decoder.feed(data):
                self._handle_message(message)
                if self.closed:
                    return
        except ProtocolError as error:
            self.end(f"sent an invalid message: {error}")

    def _handle_message(self, message: Message) -> None:
        now = asyncio.get_running_loop().time()
        self._message_budget = (
            min(MAX_BURST, self._message_budget + (now - self._budget_updated) * MESSAGES_PER_S) - 1.0
        )
        self._budget_updated = now
        if self._message_budget < 0:
            raise ProtocolError("message rate limit exceeded")
        if self.accepted:
            self._links.handler.received(self, message)
        elif self.hello or message["t"] != "hello":
            raise ProtocolError(f"{message['t']} before the hello was answered")
        else:
            self._handle_hello(message)

    def _handle_hello(self, hello: Message) -> None:
        version = pick_version(hello["versions"])
        self.hello, self.name = hello | {"picked": version}, hello["name"]
        if not 0 < len(self.name) <= 63 or not self.name.isprintable() or "/" in self.name:
            raise ProtocolError("invalid instance name")
        reason = self._links.handler.admit(self, self.hello)
        if reason:
            self.deny(reason)

    def welcome(self, orders: Orders = NO_ORDERS) -> None:
        """Accept the instance, and send it the orders that operators have given for it."""
        self.accepted = True
        self._links.link_accepted(self)
        if self._timer is not None:
            self._timer.cancel()
        order_fields = {"orders": orders.as_dict()} if orders.revision else {}
        self.send({"t": "welcome", "version": self.hello["picked"]} | order_fields)

    def deny(self, reason: str) -> None:
        """Deny the instance: send it the reason and close the link."""
        log.warning("%s is denied: %s", self.name, reason)
        self.send({"t": "deny", "reason": reason})
        self._reason = f"denied: {reason}"
        self.closed = True
        self._transport.close()

    def send(self, message: Message) -> bool:
        """Queue a message; returns False if the link is closing."""
        if self.closed or self._transport.is_closing():
            return False
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.end("does not read the messages sent to it")
            return False
        self._transport.write(encode(message))
        return True

    def end(self, reason: str) -> None:
        """Close the link at once, dropping unsent messages."""
        if not self.closed:
            self._reason, self.closed = reason, True
            log.info("link of %s closed: %s", self.name or "an unnamed instance", reason)
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._links.link_closed(self)
        if self.accepted:
            self._links.handler.ended(self, self._reason if exc is None else f"{self._reason} ({exc})")


class Links:
    """All links, and the listeners that accept them."""

    def __init__(self, handler: LinkHandler) -> None:
        self.handler = handler
        self._pending: dict[Link, None] = {}  # links not yet accepted, oldest first
        self._listeners: list[asyncio.Server] = []

    async def listen_unix(self, path: Path) -> None:
        """Listen on a Unix socket that only the user of this process may use."""
        path.unlink(missing_ok=True)
        mask = os.umask(0o177)
        try:
            loop = asyncio.get_running_loop()
            listener = await loop.create_unix_server(lambda: Link(self, False), path, backlog=BACKLOG)
        finally:
            os.umask(mask)
        self._listeners.append(listener)

    async def listen_tcp(self, host: str, port: int) -> int:
        """Listen on a TCP address; returns the port."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(lambda: Link(self, True), host, port, backlog=BACKLOG)
        self._listeners.append(listener)
        return listener.sockets[0].getsockname()[1]

    def link_opened(self, link: Link) -> None:
        """Count a new link as pending; closes the oldest pending one if there are too many."""
        self._pending[link] = None
        if len(self._pending) > MAX_PENDING_LINKS:
            next(iter(self._pending)).end("too many links are waiting to be accepted")

    def link_accepted(self, link: Link) -> None:
        """Stop counting an accepted link as pending."""
        self._pending.pop(link, None)

    def link_closed(self, link: Link) -> None:
        """Forget a closed link."""
        self._pending.pop(link, None)

    def close(self) -> None:
        """Stop accepting links. Existing links stay open."""
        for listener in self._listeners:
            listener.close()
