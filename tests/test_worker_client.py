"""A controller's calls to workers: sent once, and answered by the worker's own whole answer or by nothing."""

import asyncio
import contextlib
import socket

import pytest

from bramblewood.common.worker_connection import WorkerUnreachable
from bramblewood.controller.worker_client import WorkerAnswer, WorkerClient

OWN = "X-Attempt-Id: {id}\r\n"


class StubWorker:
    """Answers each call with the next of its texts; None: it closes the connection. `{id}`: the call's."""

    def __init__(self, *texts: str | None) -> None:
        self.texts, self.calls, self.connections = list(texts), [], 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                body = await reader.readexactly(int(fields["Content-Length"]))
                self.calls.append((head.split(" ")[1], body))
                text = self.texts.pop(0)
                if text is None:
                    break
                writer.write(text.replace("{id}", fields["X-Attempt-Id"]).encode())
        writer.close()


def answer(fields: str = OWN, status: int = 200) -> str:
    return f"HTTP/1.1 {status} X\r\n{fields}Content-Length: 0\r\n\r\n"


def outcomes(worker: StubWorker, calls: int, new: bool = False) -> list[WorkerAnswer | None]:
    """What so many calls, one after the other, bring."""

    async def play() -> list[WorkerAnswer | None]:
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client, found = WorkerClient(), []
        async with asyncio.timeout(5):
            for number in range(calls):
                until = asyncio.get_running_loop().time() + 1.0
                headers = {"X-Attempt-Id": f"a-{number}"}
                found.append(await client.post(f"{host}:{port}", "/x", headers, {"n": number}, until, new))
        client.close()
        server.close()
        return found

    return asyncio.run(play())


def test_a_connection_is_kept_for_the_next_call() -> None:
    worker = StubWorker(answer(), answer(status=409))
    found = outcomes(worker, 2)
    assert [(one.status, one.is_first_on_connection) for one in found] == [(200, True), (409, False)]
    assert worker.connections == 1
    assert worker.calls == [("/x", b'{"n": 0}'), ("/x", b'{"n": 1}')]


def test_a_call_may_ask_for_a_new_connection() -> None:
    worker = StubWorker(answer(), answer())
    assert all(one.is_first_on_connection for one in outcomes(worker, 2, new=True))
    assert worker.connections == 2


def test_calls_at_the_same_moment_have_connections_of_their_own_and_keep_them() -> None:
    worker = StubWorker(*[answer()] * 6)

    async def play() -> list[bool]:
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client, until = WorkerClient(), asyncio.get_running_loop().time() + 1.0
        found = []
        for round_number in range(2):
            calls = [
                client.post(f"{host}:{port}", "/x", {"X-Attempt-Id": f"{round_number}-{n}"}, {}, until, False)
                for n in range(3)
            ]
            found += await asyncio.gather(*calls)
        client.close()
        server.close()
        return [one.is_first_on_connection for one in found]

    assert asyncio.run(play()) == [True] * 3 + [False] * 3
    assert worker.connections == 3


def test_another_calls_answer_is_passed_over() -> None:
    worker = StubWorker(answer("X-Attempt-Id: older\r\n") + answer(status=409), answer())
    found = outcomes(worker, 2)
    assert [one.status for one in found] == [409, 200]
    assert worker.connections == 2  # what brought a foreign answer is not kept


def test_an_answer_without_an_id_is_the_callers_to_judge() -> None:
    first, second = outcomes(StubWorker(answer(""), answer("")), 2)
    assert first.is_first_on_connection and not second.is_first_on_connection


@pytest.mark.parametrize(
    "text",
    [
        None,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n\r\n",  # only the close would tell its end
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\nZ\r\n",
        "no HTTP\r\n\r\n",
    ],
)
def test_what_is_no_whole_answer_counts_as_none_and_is_not_sent_again(text: str | None) -> None:
    worker = StubWorker(text, answer())
    first, second = outcomes(worker, 2)
    assert first is None and second.status == 200
    assert len(worker.calls) == 2 and worker.connections == 2


def test_a_port_where_nobody_listens_is_refused() -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"

    async def play() -> None:
        loop = asyncio.get_running_loop()
        await WorkerClient().post(address, "/x", {"X-Attempt-Id": "a"}, {}, loop.time() + 1.0, False)

    with pytest.raises(WorkerUnreachable) as raised:
        asyncio.run(play())
    assert raised.value.is_refused and raised.value.log_fields()["peer"] == address


def test_a_call_does_not_leave_once_its_time_is_over() -> None:
    worker = StubWorker(answer())

    async def play() -> None:
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client, now = WorkerClient(), asyncio.get_running_loop().time()
        with pytest.raises(TimeoutError):
            await client.post(f"{host}:{port}", "/x", {"X-Attempt-Id": "a"}, {}, now - 0.1, False)
        client.close()
        server.close()

    asyncio.run(play())
    assert not worker.calls
