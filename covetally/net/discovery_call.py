"""One call to discovery, on one connection."""

from __future__ import annotations

from covetally.net.config import Address
from covetally.net.http_message import Broken, End, ResponseHead, encode
from covetally.net.server_list import ListError
from covetally.net.waiting import Waiting

MAX_LIST = 8 * 1024 * 1024  # bytes


class DiscoveryCall:
    """A request and its answer. `received` is what has come of the answer's body, whole or not."""

    def __init__(self, address: Address, target: str, connection: Waiting | None) -> None:
        self._address, self._target = address, target
        self._connection = connection  # kept from an earlier call; None: a new one is made
        self.received = bytearray()

    async def run(self) -> bytes:
        """The whole body of the answer; OSError, Malformed or ListError where there is none. The connection is
        closed by any failure, cancellation included."""
        try:
            if self._connection is None:
                self._connection = await Waiting.connect(self._address)
            return await self._exchange(self._connection)
        except BaseException:
            self.close()
            raise

    async def _exchange(self, connection: Waiting) -> bytes:
        host = f"{self._address[0]}:{self._address[1]}".encode()
        await connection.write(encode(f"GET {self._target} HTTP/1.1".encode(), [(b"host", host)], b""))
        head = await connection.next_event()
        while isinstance(head, ResponseHead) and head.status < 200:
            head = await connection.next_event()
        if not isinstance(head, ResponseHead) or head.status != 200:
            raise Broken(f"answered {head.status if isinstance(head, ResponseHead) else 'nothing'}")
        while isinstance(event := await connection.next_event(), bytes):
            self.received += event
            if len(self.received) > MAX_LIST:
                raise ListError("list too long")
        if event is not End.MESSAGE:
            raise Broken("ended inside an answer")
        return bytes(self.received)

    def take_connection(self) -> Waiting | None:
        """The connection of a call that was answered, for the next one; None if it must not carry another."""
        connection, self._connection = self._connection, None
        if connection is not None and not connection.prepare_next_message():
            connection.close()
            return None
        return connection

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
