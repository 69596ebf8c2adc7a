"""Why a client's connection was closed: one reason for each, counted, for operators to read."""

from __future__ import annotations

import enum


class CloseReason(enum.Enum):
    """The reason with which `Client.close` is called. The value is the name that operators read."""

    CLIENT_LEFT = "client_left"  # it closed, reset, or does not take what is written to it
    LAST_ANSWER = "last_answer"  # closed after an answer that said so
    IDLE = "idle"  # rested for its time between requests
    IDLE_LIMIT = "idle_limit"  # more rest than may
    MADE_ROOM = "made_room"  # for a new connection
    TENANT_CAP = "tenant_cap"  # its tenant may hold fewer connections
    SHUTDOWN = "shutdown"  # the process ends
    SLOW_READER = "slow_reader"  # its answer could not be written in time
    BUG = "bug"
