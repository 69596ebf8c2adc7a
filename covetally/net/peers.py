"""Exchanges short messages with the other sidecars of a tier over UDP."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any

from covetally.net.config import Address

log = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 256


class Peers(asyncio.DatagramProtocol):
    """Sends datagrams to peers by their number, and passes on datagrams from known peers."""

    def __init__(self, peers: tuple[Address, ...], peers_all: Address | None) -> None:
        self._transport: asyncio.DatagramTransport | None = None
        self.on_message: Callable[[int, bytes], None]  # called with the sender's number and the datagram
        self.set_peers(peers, peers_all)

    def set_peers(self, peers: tuple[Address, ...], peers_all: Address | None) -> None:
        """Replace the peers' addresses. `peers_all` is an address that reaches all of them."""
        self._peers = peers
        self._all = peers_all
        self._numbers = {peer: number for number, peer in enumerate(peers)}

    async def listen(self, address: Address) -> None:
        """Bind the socket; raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address, family=socket.AF_INET)

    def send(self, peer: int, blob: bytes) -> None:
        """Send a message to one peer, or to all peers if `peer` is -1. Datagrams may be lost anyway, so failures
        are ignored."""
        to = self._all if peer < 0 else self._peers[peer] if peer < len(self._peers) else None
        if self._transport is not None and to is not None:
            self._transport.sendto(blob, to)

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        number = self._numbers.get(addr)
        if number is None or len(data) > MAX_DATAGRAM_BYTES:
            log.warning("ignored a datagram of %d bytes from %s:%d", len(data), *addr)
            return
        self.on_message(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors: a peer that is down answers with an ICMP error."""
