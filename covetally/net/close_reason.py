"""The reasons for closing client connections, which are counted for operators."""

from __future__ import annotations

import enum


class CloseReason(enum.Enum):
    """The reason passed to `ClientConnection.close`. Operators see the value."""

    CLIENT_LEFT = "client_left"  # the client closed or reset the connection, or it cannot be written to
    LAST_ANSWER = "last_answer"  # closed after a response with `Connection: close`
    IDLE = "idle"  # the timeout between two requests, or before the first, expired
    IDLE_LIMIT = "idle_limit"  # too many connections were idle
    MADE_ROOM = "made_room"  # evicted for a new connection
    TENANT_CAP = "tenant_cap"  # the connection cap of its tenant was lowered
    SHUTDOWN = "shutdown"  # the process shuts down or drains
    SLOW_READER = "slow_reader"  # the client did not read its response in time
    BUG = "bug"  # an exception in this program
