"""The channel between the supervisor and a worker: a socket pair that carries frames of control/protocol.py.

    from the supervisor
    message   fields                           meaning
    -------   ------                           -------
    begin     place, count, values, drained,   first message, sent once: the worker's slot, the number of slots,
              order                            the agent's settings, whether to reject clients, the roster order
    share     place, count                     the worker's slot and the number of slots have changed
    manage    values                           the agent's settings, in place of the previous ones
    reload    -                                read the configuration files again
    drain     within_s                         ask clients to leave; close their connections within this time
    resume    -                                accept clients again
    order     what                             an operator's order for the roster
    ask       id, what                         request a snapshot, the roster or the logs; answered by `reply`
    end       whole                            drain and exit; `whole` if the entire sidecar is shutting down

    from the worker
    message   fields                           meaning
    -------   ------                           -------
    up        pid                              it accepts requests
    alive     beat                             periodic heartbeat with the worker's counts
    reply     id, data                         the result of the `ask` with this id

When one side exits or closes the channel, the other side reads the end of the stream.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from covetally.control.protocol import Decoder, Message, ProtocolError, encode

log = logging.getLogger(__name__)

MAX_UNREAD_BYTES = 1024 * 1024  # buffered for a side that does not read
MAX_FRAME = 8 * 1024 * 1024  # large enough for a snapshot with thousands of nodes


class Channel:
    """One end of the channel.

    `on_message` receives each message. `on_end` is called once, after the other side has closed or the channel
    has failed.
    """

    def __init__(self, on_message: Callable[[Message], None], on_end: Callable[[], None]) -> None:
        self._on_message, self._on_end = on_message, on_end
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def open(self, sock: socket.socket) -> None:
        """Take over a connected socket and start reading."""
        reader, self._writer = await asyncio.open_connection(sock=sock)
        self._task = asyncio.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        decoder = Decoder(MAX_FRAME)
        try:
            while data := await reader.read(65536):
                for message in decoder.feed(data):
                    self._on_message(message)
        except (OSError, ProtocolError) as error:
            log.error("channel between supervisor and worker failed: %s", error)
        except Exception:
            log.exception("unexpected error on the channel between supervisor and worker")
        self.close()
        self._on_end()

    def send(self, t: str, **more: object) -> None:
        """Send a message of type `t`; drop it if the other side is gone or is not reading."""
        writer = self._writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            return  # the other side hangs: the supervisor's heartbeat check handles that
        writer.write(encode({"t": t} | more, MAX_FRAME))

    def close(self) -> None:
        """Close this end."""
        if self._writer is not None:
            self._writer.transport.abort()
