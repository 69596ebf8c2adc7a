"""What an errno says of whom, for the calls of the request path (docs/design/system-calls.md has the table).

A lack of this process or machine is no fault of the server or client at the other end, and passes: whoever meets
it tries again or leaves the call as one that never began. Sources: the manual pages accept(2), connect(2),
socket(2), send(2), recv(2), epoll_ctl(2).
"""

from __future__ import annotations

import errno

# Descriptors and memory, of the process or the machine.
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

# socket(2), connect(2), epoll_ctl(2): no descriptor, memory, port or route to be had here, for now.
LOCAL_CONNECT_ERRORS = frozenset({
    *RESOURCE_ERRORS, errno.ENOSPC, errno.EAGAIN, errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EACCES,
    errno.EPERM, errno.ENETUNREACH, errno.ENETDOWN,
})  # fmt: skip

# recv(2), send(2): the connection is as it was, and the call may be made again.
TRANSIENT_IO_ERRORS = frozenset({errno.ENOMEM, errno.ENOBUFS})

# accept(2): the connection is gone, or an error that waited on its socket is told here; the next may be well.
RETRY_ACCEPT_ERRORS = frozenset({
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT,
    errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT,
    errno.ECONNRESET,
})  # fmt: skip
