"""Starts a program in which calls that the platform refuses end the process: `python -m tests.refusing COMMAND`.

A system-call filter, as any process may put on itself. A call that is refused with an error may go by unseen,
since libraries fall back on others; here it ends the process with SIGSYS.
"""

from __future__ import annotations

import ctypes
import os
import struct
import sys

PR_SET_NO_NEW_PRIVS, PR_SET_SECCOMP, FILTER_MODE = 38, 22, 2
ALLOW, ERRNO, KILL = 0x7FFF0000, 0x00050000, 0x80000000
LOAD, EQUAL, ANY_BIT, RETURN = 0x20, 0x15, 0x45, 0x06  # BPF: ld word, jump if equal, jump if a bit is set, return
NUMBER, ARGUMENT = 0, 16  # where the call's number and its first argument stand
ENOSYS, CLONE_THREAD = 38, 0x10000
AF_INET6, AF_PACKET = 10, 17
CALLS = {  # by machine: clone, clone3, socket, and those that nothing may use
    "x86_64": (56, 435, 41, {"fork": 57, "vfork": 58, "io_uring_setup": 425, "splice": 275, "sendfile": 40}),
    "aarch64": (220, 435, 198, {"io_uring_setup": 425, "splice": 76, "sendfile": 71}),
}


def program(machine: str) -> bytes:
    """The filter: threads may be made, processes not; nor sockets of other families than Unix and IPv4."""
    clone, clone3, sock, refused = CALLS[machine]
    give = {what: struct.pack("HBBI", RETURN, 0, 0, what) for what in (ALLOW, ERRNO | ENOSYS, KILL)}
    number = struct.pack("HBBI", LOAD, 0, 0, NUMBER)
    argument = struct.pack("HBBI", LOAD, 0, 0, ARGUMENT)

    def unless(op: int, value: int, skip: int) -> bytes:
        return struct.pack("HBBI", op, 0, skip, value)

    steps = [number]
    for call in refused.values():
        steps += [unless(EQUAL, call, 1), give[KILL]]
    # The flags of clone3 cannot be seen from here. Told that there is none, the C library takes clone.
    steps += [unless(EQUAL, clone3, 1), give[ERRNO | ENOSYS]]
    steps += [unless(EQUAL, clone, 4), argument, unless(ANY_BIT, CLONE_THREAD, 1), give[ALLOW], give[KILL]]
    steps += [unless(EQUAL, sock, 5), argument, unless(EQUAL, AF_INET6, 1), give[KILL]]
    steps += [unless(EQUAL, AF_PACKET, 1), give[KILL], give[ALLOW]]
    return b"".join(steps)


def restrict() -> None:
    """Put the filter on this process and all that it becomes; OSError if the kernel will not."""
    code = program(os.uname().machine)
    libc = ctypes.CDLL(None, use_errno=True)
    buffer = ctypes.create_string_buffer(code, len(code))
    header = struct.pack("HxxxxxxP", len(code) // 8, ctypes.addressof(buffer))
    if libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) or libc.prctl(PR_SET_SECCOMP, FILTER_MODE, header):
        raise OSError(ctypes.get_errno(), "no filter")


if __name__ == "__main__":
    restrict()
    os.execvp(sys.argv[1], sys.argv[1:])
