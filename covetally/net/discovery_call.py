"""One call to discovery over one connection."""

from __future__ import annotations

from covetally.net.config import Address
from covetally.net.http_message import Broken, End, ResponseHead, encode
from covetally.net.memory import MemoryAccount, MemoryExhausted, MemoryKind, MemoryReservation
from covetally.net.server_list import ListError
from covetally.net.async_connection import AsyncConnection

MAX_LIST_BYTES = 8 * 1024 * 1024
PARSED_FACTOR = 6  # memory that a list takes while it is parsed, as a multiple of its text


class DiscoveryCall:
    """A request to discovery and its answer. `received` holds the answer's body so far, complete or not."""

    def __init__(
        self, address: Address, target: str, connection: AsyncConnection | None, memory: MemoryAccount
    ) -> None:
        self._memory = MemoryReservation(memory)
        self._address, self._target = address, target
        self._connection = connection  # kept from an earlier call; None: open a new one
        self.reused = connection is not None
        self.received = bytearray()

    async def run(self) -> bytes:
        """Return the complete body of the answer; raises OSError, Malformed or ListError if there is none. Any
        failure, including cancellation, closes the connection."""
        try:
            if self._connection is None:
                self._connection = await AsyncConnection.connect(self._address)
            return await self._exchange(self._connection)
        except BaseException:
            self.close()
            raise

    async def _exchange(self, connection: AsyncConnection) -> bytes:
        host = f"{self._address[0]}:{self._address[1]}".encode()
        await connection.write(encode(f"GET {self._target} HTTP/1.1".encode(), [(b"host", host)], b""))
        head = await connection.next_event()
        while isinstance(head, ResponseHead) and head.status < 200:
            head = await connection.next_event()
        if not isinstance(head, ResponseHead) or head.status != 200:
            raise Broken(f"answered {head.status if isinstance(head, ResponseHead) else 'nothing'}")
        while isinstance(event := await connection.next_event(), bytes):
            self.received += event
            if len(self.received) > MAX_LIST_BYTES:
                raise ListError("the server list is too long")
            self._charge()
        if event is not End.MESSAGE:
            raise Broken("the connection ended inside an answer")
        return bytes(self.received)

    def _charge(self) -> None:
        try:
            self._memory.resize(MemoryKind.LIST, len(self.received) * PARSED_FACTOR)
        except MemoryExhausted:
            raise ListError(f"no memory left for the server list after {len(self.received)} bytes") from None

    def take_connection(self) -> AsyncConnection | None:
        """Hand over the connection of an answered call for the next call; None if it cannot be reused."""
        self._memory.release()
        connection, self._connection = self._connection, None
        if connection is not None and not connection.prepare_next_message():
            connection.close()
            return None
        return connection

    def discard(self) -> None:
        """Close the connection and drop what was received: it does not answer this call."""
        self.close()
        self.received.clear()

    def close(self) -> None:
        """Close the connection, if there is one."""
        self._memory.release()
        if self._connection is not None:
            self._connection.close()
            self._connection = None
