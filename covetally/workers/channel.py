"""The channel between the supervisor and a worker: a socket pair, frames as management has them.

    supervisor: begin, share, manage, reload, rest, order, ask, end          worker: up, alive, reply

    begin    place, count, values, resting       once, before anything else: what the worker is and starts with
    share    place, count                        from here on it is one of so many
    manage   values                              what an agent has set, in place of what it had
    reload   -                                   read the files again
    rest     resting                             tell clients to stay away, or to come back
    order    what                                an order to the roster
    ask      id, what                            snapshot, logs or roster; answered by a reply
    end      whole                               drain and end; the whole sidecar ends, or this one alone
    up       pid                                 it takes requests
    alive    beat, every so often                it is alive, and what it has counted
    reply    id, data

The channel's end is the end of the other side.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from covetally.control.protocol import Decoder, Message, ProtocolError, encode

log = logging.getLogger(__name__)

MAX_UNREAD = 1024 * 1024  # of a side that does not read
MAX_FRAME = 8 * 1024 * 1024  # a snapshot with thousands of nodes


class Channel:
    """One end. `on_message` has each message, `on_end` is called once, when the other side has gone."""

    def __init__(self, on_message: Callable[[Message], None], on_end: Callable[[], None]) -> None:
        self._on_message, self._on_end = on_message, on_end
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def open(self, sock: socket.socket) -> None:
        """Take over a connected socket and begin to read."""
        reader, self._writer = await asyncio.open_connection(sock=sock)
        self._task = asyncio.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        decoder = Decoder(MAX_FRAME)
        try:
            while data := await reader.read(65536):
                for message in decoder.feed(data):
                    self._on_message(message)
        except (OSError, ProtocolError) as error:
            log.error("the channel broke: %s", error)
        except Exception:
            log.exception("the channel failed by a bug")
        self.close()
        self._on_end()

    def send(self, t: str, **more: object) -> None:
        """Send a message; nothing happens if the other side has gone or does not read."""
        writer = self._writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > MAX_UNREAD:
            return  # it hangs, and will be found to
        writer.write(encode({"t": t} | more, MAX_FRAME))

    def close(self) -> None:
        """End it from this side."""
        if self._writer is not None:
            self._writer.transport.abort()
