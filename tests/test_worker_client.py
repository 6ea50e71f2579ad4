"""Guards against calls of a controller that are sent twice or that return the wrong or a partial answer."""

import asyncio
import contextlib
import socket

import pytest

from bramblewood.common.worker_connection import WorkerUnreachable
from bramblewood.controller.worker_client import WorkerAnswer, WorkerClient

ATTEMPT_ID_HEADER = "X-Attempt-Id: {id}\r\n"


class StubWorker:
    """Answers each call with its next response text, in which `{id}` stands for the attempt id of the call.

    Where the text is None, it closes the connection instead.
    """

    def __init__(self, *responses: str | None) -> None:
        self.responses, self.calls, self.connection_count = list(responses), [], 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                body = await reader.readexactly(int(fields["Content-Length"]))
                self.calls.append((head.split(" ")[1], body))
                text = self.responses.pop(0)
                if text is None:
                    break
                writer.write(text.replace("{id}", fields["X-Attempt-Id"]).encode())
        writer.close()


def response(headers: str = ATTEMPT_ID_HEADER, status: int = 200) -> str:
    return f"HTTP/1.1 {status} X\r\n{headers}Content-Length: 0\r\n\r\n"


def send_calls(worker: StubWorker, count: int, on_new_connection: bool = False) -> list[WorkerAnswer | None]:
    """Send calls one after the other, and return their results."""

    async def run() -> list[WorkerAnswer | None]:
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client, results = WorkerClient(), []
        async with asyncio.timeout(5):
            for number in range(count):
                connect_by = asyncio.get_running_loop().time() + 1.0
                headers = {"X-Attempt-Id": f"a-{number}"}
                results.append(
                    await client.post(
                        f"{host}:{port}", "/x", headers, {"n": number}, connect_by, on_new_connection
                    )
                )
        client.close()
        server.close()
        return results

    return asyncio.run(run())


def test_call_after_an_answered_call_reuses_its_connection() -> None:
    worker = StubWorker(response(), response(status=409))
    answers = send_calls(worker, 2)
    assert [(answer.status, answer.is_first_on_connection) for answer in answers] == [
        (200, True),
        (409, False),
    ]
    assert worker.connection_count == 1
    assert worker.calls == [("/x", b'{"n": 0}'), ("/x", b'{"n": 1}')]


def test_call_on_new_connection_does_not_reuse_an_idle_one() -> None:
    worker = StubWorker(response(), response())
    assert all(answer.is_first_on_connection for answer in send_calls(worker, 2, on_new_connection=True))
    assert worker.connection_count == 2


def test_concurrent_calls_use_separate_connections_and_reuse_them() -> None:
    worker = StubWorker(*[response()] * 6)

    async def run() -> list[bool]:
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client, connect_by = WorkerClient(), asyncio.get_running_loop().time() + 1.0
        answers = []
        for round_number in range(2):
            calls = [
                client.post(
                    f"{host}:{port}", "/x", {"X-Attempt-Id": f"{round_number}-{n}"}, {}, connect_by, False
                )
                for n in range(3)
            ]
            answers += await asyncio.gather(*calls)
        client.close()
        server.close()
        return [answer.is_first_on_connection for answer in answers]

    assert asyncio.run(run()) == [True] * 3 + [False] * 3
    assert worker.connection_count == 3


def test_answer_to_another_call_is_skipped_and_its_connection_is_not_reused() -> None:
    worker = StubWorker(response("X-Attempt-Id: older\r\n") + response(status=409), response())
    answers = send_calls(worker, 2)
    assert [answer.status for answer in answers] == [409, 200]
    assert worker.connection_count == 2


def test_answer_without_attempt_id_states_whether_it_is_the_first_on_its_connection() -> None:
    first, second = send_calls(StubWorker(response(""), response("")), 2)
    assert first.is_first_on_connection and not second.is_first_on_connection


@pytest.mark.parametrize(
    "response_text",
    [
        None,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n\r\n",  # no length, so only a closed connection ends it
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\nZ\r\n",
        "no HTTP\r\n\r\n",
    ],
)
def test_call_without_valid_answer_returns_none_and_is_not_sent_again(response_text: str | None) -> None:
    worker = StubWorker(response_text, response())
    first, second = send_calls(worker, 2)
    assert first is None and second.status == 200
    assert len(worker.calls) == 2 and worker.connection_count == 2


def test_port_without_listener_raises_worker_unreachable_as_refused() -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"

    async def run() -> None:
        loop = asyncio.get_running_loop()
        await WorkerClient().post(address, "/x", {"X-Attempt-Id": "a"}, {}, loop.time() + 1.0, False)

    with pytest.raises(WorkerUnreachable) as raised:
        asyncio.run(run())
    assert raised.value.is_refused and raised.value.log_fields()["peer"] == address


def test_call_after_its_connect_deadline_raises_timeout_error_and_is_not_sent() -> None:
    worker = StubWorker(response())

    async def run() -> None:
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client, now = WorkerClient(), asyncio.get_running_loop().time()
        with pytest.raises(TimeoutError):
            await client.post(f"{host}:{port}", "/x", {"X-Attempt-Id": "a"}, {}, now - 0.1, False)
        client.close()
        server.close()

    asyncio.run(run())
    assert not worker.calls
