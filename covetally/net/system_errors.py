"""Groups of errno values by what they say of a failed system call (docs/design/system-calls.md has the table).

A resource that this process or machine lacks is no fault of the server or client at the other end, and the lack
is temporary: the caller retries, or treats the call as one that never began. Sources: the manual pages accept(2),
connect(2), socket(2), send(2), recv(2), epoll_ctl(2).
"""

from __future__ import annotations

import errno

# The process or the machine has no descriptors or memory left.
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

# socket(2), connect(2), epoll_ctl(2): no descriptor, memory, port or route is available on this machine for now.
LOCAL_CONNECT_ERRORS = frozenset({
    *RESOURCE_ERRORS, errno.ENOSPC, errno.EAGAIN, errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EACCES,
    errno.EPERM, errno.ENETUNREACH, errno.ENETDOWN,
})  # fmt: skip

# recv(2), send(2): the connection is unaffected, and the call may be repeated.
TRANSIENT_IO_ERRORS = frozenset({errno.ENOMEM, errno.ENOBUFS})

# accept(2): the connection is gone, or a pending network error of its socket is reported here. The next call may
# succeed.
RETRY_ACCEPT_ERRORS = frozenset({
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT,
    errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT,
    errno.ECONNRESET,
})  # fmt: skip
