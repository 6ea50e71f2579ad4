"""Responses with long bodies, which are written as fast as the client reads them."""

import asyncio

from aiohttp import web
from multidict import CIMultiDict

LONG_RESPONSE_BYTES = 2**16  # bytes of a body above which the body is written in parts of this size


class LongResponse(web.StreamResponse):
    """A response whose body is not copied into the buffer of the connection as a whole."""

    def __init__(self, status: int, reason: str, headers: CIMultiDict[str], body: bytes) -> None:
        super().__init__(status=status, reason=reason, headers=headers)
        self.content_length = len(body)
        self._long_body = body

    async def send(self, request: web.BaseRequest, write_timeout: float) -> None:
        """Write the response. On return, all but the last parts have left, or the client is gone.

        write_timeout: s for which a client may read nothing before its connection is closed.
        """
        transport = request.transport
        try:
            await self.prepare(request)
            with memoryview(self._long_body) as view:
                for start in range(0, len(view), LONG_RESPONSE_BYTES):
                    async with asyncio.timeout(write_timeout):
                        await self.write(bytes(view[start : start + LONG_RESPONSE_BYTES]))
            await self.write_eof()
        except TimeoutError:
            if transport is not None:
                transport.abort()
        except ConnectionError:
            pass  # the client is gone
