"""The network between machines: one relay a machine, which can be partitioned off.

Controllers and proxies listen and dial from an inner address of their own (`BindIp`) and know each other by
the relays' outer addresses; so a relay knows both ends of each connection by their addresses.
Bytes of a cut connection stay where they are.
"""

import asyncio

READ_SIZE = 2**16  # bytes

Ends = tuple[str, str]  # outer addresses of the machine that dials and of the one that listens


class Network:
    """All relays of a run."""

    def __init__(self) -> None:
        self.partitioned: set[str] = set()  # machines, by their outer address
        self.healed = asyncio.Event()
        self.outer_addresses: dict[str, str] = {}  # by inner address
        self.servers: list[asyncio.Server] = []
        self.connections: dict[Ends, set[asyncio.StreamWriter]] = {}

    async def start_relay(self, outer: str, inner: str, port: int) -> None:
        """Relay connections to a port of a machine's outer address to its inner one."""
        self.outer_addresses[inner] = outer

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            source = self.outer_addresses.get(writer.get_extra_info("peername")[0], "")
            await self._relay_connection(reader, writer, (source, outer), inner, port)

        self.servers.append(await asyncio.start_server(accept, outer, port))

    async def _relay_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        ends: Ends,
        inner: str,
        port: int,
    ) -> None:
        target_writer, connections = None, self.connections.setdefault(ends, set())
        connections.add(writer)
        try:
            await self._until_joined(ends)
            target_reader, target_writer = await asyncio.open_connection(inner, port)
            directions = [
                asyncio.ensure_future(self._copy(reader, target_writer, ends)),
                asyncio.ensure_future(self._copy(target_reader, writer, ends)),
            ]
            _, unfinished = await asyncio.wait(directions, return_when="FIRST_COMPLETED")
            for direction in unfinished:
                direction.cancel()
        except OSError:
            pass
        finally:
            connections.discard(writer)
            for one in (writer, target_writer):
                if one is not None:
                    one.transport.abort()

    async def _until_joined(self, ends: Ends) -> None:
        while self.partitioned.intersection(ends):
            await self.healed.wait()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ends: Ends) -> None:
        try:
            while data := await reader.read(READ_SIZE):
                await self._until_joined(ends)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def partition(self, outer: str) -> None:
        """Cut a machine off from all others, until `heal`."""
        self.partitioned.add(outer)

    def heal(self, outer: str) -> None:
        """Let a machine's bytes through again."""
        self.partitioned.discard(outer)
        self.healed.set()
        self.healed = asyncio.Event()

    def reset(self, outer: str) -> None:
        """Break off all connections of a machine; what is on its way there is lost."""
        for ends, connections in self.connections.items():
            if outer in ends:
                for writer in connections:
                    writer.transport.abort()

    def close(self) -> None:
        """Accept no further connections."""
        for server in self.servers:
            server.close()
