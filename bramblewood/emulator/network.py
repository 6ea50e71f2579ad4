"""The wire between managers: one relay a machine, which can be cut. Bytes of a cut connection stay where
they are.

Managers listen and dial from an address of their own (`BindIp`) and know each other by the relays' addresses;
so a relay knows both ends of each connection by their addresses.
"""

import asyncio

AT_ONCE = 2**16  # bytes


class Wire:
    def __init__(self) -> None:
        self.cuts: set[str] = set()  # machines, by their outer address
        self.healed = asyncio.Event()
        self.outer: dict[str, str] = {}  # by inner address
        self.servers: list[asyncio.Server] = []
        self.joints: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}  # by both ends, what stands

    async def relay(self, outer: str, inner: str, port: int) -> None:
        self.outer[inner] = outer

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            source = self.outer.get(writer.get_extra_info("peername")[0], "")
            await self.joined(reader, writer, (source, outer), inner, port)

        self.servers.append(await asyncio.start_server(take, outer, port))

    async def joined(self, reader, writer, ends: tuple[str, str], inner: str, port: int) -> None:
        other, joint = None, self.joints.setdefault(ends, set())
        joint.add(writer)
        try:
            await self.open(ends)
            back, other = await asyncio.open_connection(inner, port)
            ways = [self.pump(reader, other, ends), self.pump(back, writer, ends)]
            _, left = await asyncio.wait(map(asyncio.ensure_future, ways), return_when="FIRST_COMPLETED")
            for way in left:
                way.cancel()
        except OSError:
            pass
        finally:
            joint.discard(writer)
            for one in (writer, other):
                if one is not None:
                    one.transport.abort()

    async def open(self, ends: tuple[str, str]) -> None:
        while self.cuts.intersection(ends):
            await self.healed.wait()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ends: tuple[str, str]
    ) -> None:
        try:
            while data := await reader.read(AT_ONCE):
                await self.open(ends)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def cut(self, outer: str) -> None:
        self.cuts.add(outer)

    def heal(self, outer: str) -> None:
        self.cuts.discard(outer)
        self.healed.set()
        self.healed = asyncio.Event()

    def reset(self, outer: str) -> None:
        """Break off all connections of a machine; what is on its way there is lost."""
        for ends, joint in self.joints.items():
            if outer in ends:
                for writer in joint:
                    writer.transport.abort()

    def end(self) -> None:
        for server in self.servers:
            server.close()
