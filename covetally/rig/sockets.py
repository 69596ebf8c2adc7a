"""Which process holds the other end of a loopback connection: /proc(5), Linux only."""

from __future__ import annotations

import os
import socket
import struct
from pathlib import Path


def holder(sock: socket.socket, pids: list[int]) -> int:
    """Of these processes the one that holds the far end of `sock`; 0 if none does."""
    far, near = sock.getpeername(), sock.getsockname()
    inode = _inode(far, near)
    for pid in pids:
        if inode and inode in _inodes(pid):
            return pid
    return 0


def _inode(local: tuple[str, int], remote: tuple[str, int]) -> str:
    wanted = [_words(local), _words(remote)]
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        if words[1:3] == wanted:
            return words[9]
    return ""


def _words(address: tuple[str, int]) -> str:
    (host,) = struct.unpack("=I", socket.inet_aton(address[0]))
    return f"{host:08X}:{address[1]:04X}"


def _inodes(pid: int) -> set[str]:
    found = set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            link = os.readlink(f"/proc/{pid}/fd/{name}")
        except OSError:
            continue  # closed meanwhile
        if link.startswith("socket:["):
            found.add(link[8:-1])
    return found
