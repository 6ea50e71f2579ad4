"""A stand-in client, written from PROTOCOL: one connection, one request at a time."""

import asyncio
import secrets
import socket

from .fleet import FRONT, Fleet, Program


class Answer:
    """What a client got: a status (0 for none), the header fields, and whether the body was whole."""

    def __init__(self) -> None:
        self.status, self.fields, self.body_bytes, self.whole = 0, {}, 0, False
        self.problem = ""

    def __str__(self) -> str:
        size = f"{self.body_bytes} of {self.fields.get('content-length', '?')} bytes"
        return f"status {self.status}, {size}{'' if self.whole else ', NOT WHOLE'} {self.problem}".strip()


class Client:
    """One client connection. `bytes_per_s` bounds how fast it reads an answer; 0 for no bound."""

    def __init__(self, fleet: Fleet, proxy: Program, bytes_per_s: int = 0, receive_buffer: int = 0) -> None:
        self.fleet, self.proxy, self.bytes_per_s = fleet, proxy, bytes_per_s
        self.receive_buffer = receive_buffer
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection. Raises OSError or TimeoutError."""
        sock = socket.socket()
        sock.setblocking(False)
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        async with asyncio.timeout(1.0):
            address = (self.proxy.ip, self.fleet.port + FRONT)
            await asyncio.get_running_loop().sock_connect(sock, address)
        limit = min(2**16, self.receive_buffer or 2**16)
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=limit)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def ask(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 3000,
        attempt: str = "",
        host: str = "registro.example",
        **fields: str,
    ) -> Answer:
        """Send one request and read its answer until the deadline."""
        attempt = attempt or secrets.token_hex(8)
        more = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
        )
        answer = Answer()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                self.writer.write(head.encode() + body)
                await self.writer.drain()
                await self._read(answer)
        except TimeoutError:
            answer.problem = "deadline reached"
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.problem = f"connection ended: {error!r:.60}"
        self.fleet.record(f"client: {attempt} {method} {path} at {self.proxy.name}: {answer}")
        return answer

    async def _read(self, answer: Answer) -> None:
        status_line = await self.reader.readline()
        if not status_line:
            raise ConnectionResetError("closed without an answer")
        answer.status = int(status_line.split()[1])
        while (line := await self.reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            answer.fields[name.lower()] = value.strip()
        length = int(answer.fields.get("content-length", 0))
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while answer.body_bytes < length:
            piece = await self.reader.read(min(2**14, length - answer.body_bytes))
            if not piece:
                raise ConnectionResetError("closed within the body")
            answer.body_bytes += len(piece)
            if self.bytes_per_s:
                await asyncio.sleep(began_at + answer.body_bytes / self.bytes_per_s - loop.time())
        answer.whole = True
