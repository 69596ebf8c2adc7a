"""The network between sidecars' peer sockets, with a fault on every link, each way for itself.

One socket for all links: a datagram that member i sends to 127.N.i.j is for j, and reaches it from 127.N.j.i,
which is where j's list of peers has i. 127.N.i.255 is for all others. So nothing of the sidecars differs from an
installation's, and a world of up to 250 members takes one port here.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections import Counter
from collections.abc import Iterable

from covetally.rig.schedule import WELL, Link

_PKTINFO = struct.Struct("=I4s4s")
IP_PKTINFO = getattr(socket, "IP_PKTINFO", 8)
TO_ALL = 255
MOST = 250
# Below the range from which the kernel draws ports: a socket on 0.0.0.0 in another process may have any of those.
LISTEN_PORTS = range(20_000, 30_000)


class Datagrams:
    """Use `peers(i)` and `to_all(i)` for a member's configuration, then `start`."""

    def __init__(self, net: int, seed: int) -> None:
        self._net, self._random = net, random.Random(seed)
        self._targets: dict[int, tuple[str, int]] = {}  # by member: where it listens
        self._links: dict[tuple[int, int], Link] = {}
        self._loop: asyncio.AbstractEventLoop
        self.passed: Counter[int] = Counter()  # datagrams by sender
        self.octets: Counter[int] = Counter()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self._sock.setblocking(False)
        self._sock.bind(("0.0.0.0", 0))  # all of 127/8: what is not of this network is dropped
        self.port = self._sock.getsockname()[1]

    def address(self, sender: int, to: int) -> str:
        """Where a member sends what is for another."""
        return f"127.{self._net}.{sender}.{to}:{self.port}"

    def listen_address(self, member: int) -> str:
        """Where a member is to listen: known before it starts, and the same after a restart."""
        return f"127.{self._net}.{member}.254:{LISTEN_PORTS[self.port % len(LISTEN_PORTS)]}"

    def configure(self, member: int, size: int) -> dict[str, object]:
        """The keys of a member's configuration."""
        host, _, port = self.listen_address(member).rpartition(":")
        self._targets[member] = (host, int(port))
        return {
            "peer_listen": self.listen_address(member),
            "peers": [self.address(member, to) for to in range(size)],
            "peers_all": self.address(member, TO_ALL),
        }

    def start(self) -> None:
        """Pass datagrams on from here on."""
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._sock.fileno(), self._read)

    def stop(self) -> None:
        """Pass none on any more."""
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    # --- faults ---------------------------------------------------------------------------------

    def set(self, senders: Iterable[int], to: Iterable[int], link: Link) -> None:
        """From here on, this becomes of what these send to those."""
        targets = list(to)
        for sender in senders:
            for target in targets:
                if sender != target:
                    self._links[sender, target] = link

    def heal(self) -> None:
        """All links are well."""
        self._links.clear()

    def inject(self, sender: int, to: int, data: bytes) -> None:
        """As if a member had sent this: it reaches the other from that one's address."""
        self._send(sender, to, data)

    # --- passing on -----------------------------------------------------------------------------

    def _read(self) -> None:
        for _ in range(256):
            try:
                data, ancillary, _, _ = self._sock.recvmsg(2048, 128)
            except (BlockingIOError, InterruptedError):
                return
            for level, kind, value in ancillary:
                if level == socket.IPPROTO_IP and kind == IP_PKTINFO:
                    to = _PKTINFO.unpack(value[: _PKTINFO.size])[2]
                    if to[1] == self._net:
                        self._came(to[2], to[3], data)

    def _came(self, sender: int, to: int, data: bytes) -> None:
        self.passed[sender] += 1
        targets = [n for n in self._targets if n != sender] if to == TO_ALL else [to]
        for target in targets:
            self.octets[sender] += len(data)
            link = self._links.get((sender, target), WELL)
            if link is WELL:
                self._send(sender, target, data)
                continue
            for delay_s in link.delays(self._loop.time(), self._random):
                self._loop.call_later(delay_s, self._send, sender, target, data)

    def _send(self, sender: int, to: int, data: bytes) -> None:
        target = self._targets.get(to)
        if target is None or self._sock.fileno() < 0:
            return
        source = _PKTINFO.pack(0, bytes((127, self._net, to, sender)), b"\0\0\0\0")
        try:
            self._sock.sendmsg([data], [(socket.IPPROTO_IP, IP_PKTINFO, source)], 0, target)
        except OSError:  # it is down, or its buffer is full: a datagram is lost
            return
