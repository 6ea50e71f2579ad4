"""Malformed messages: they raise PeerMessageError, which closes only the connection that they came on."""

import asyncio
import json
from collections.abc import Iterator

import aiohttp
import pytest
from aiohttp import web

from bramblewood.common.errors import PeerMessageError
from bramblewood.common.messages import kinds
from bramblewood.common.peer_connections import MAX_DELAY_AFTER_MALFORMED, PeerConnections
from bramblewood.common.worker_registry import WorkerRegistration, WorkerRegistry
from bramblewood.controller.consensus.messages import CONSENSUS_MESSAGE_KINDS
from bramblewood.proxy.load_balancing import LoadBalancer
from bramblewood.proxy.load_report import take_report
from tests.simulation.malformed_messages import (
    DECODERS,
    decode_message,
    is_malformed,
    malformed_texts,
    mutations,
)
from tests.simulation.membership_commands import PEER_PORT, ControllerProcesses
from tests.test_consensus_messages import WIRE_FORMS as CONSENSUS_TEXTS
from tests.test_messages import WIRE_FORMS
from tests.test_peer_connections import HOST, RecordingServer, serving

COMMON_FORMS = [wire for _, wire in WIRE_FORMS]
CONSENSUS_FORMS = [json.loads(text) for text in CONSENSUS_TEXTS]
ALL_FORMS = [*COMMON_FORMS, *CONSENSUS_FORMS]
REGISTRATION_ROW = ["register", "10.0.0.9:80", "here", 4, "ready", 7, 0.0, "v1"]
# Each text is not JSON, not a message, or a well-formed message with invalid content.
UNUSABLE_TEXTS = [
    "{no JSON",
    "[]",
    "null",
    '{"no":"kind"}',
    '{"k":7}',
    "[" * 100_000,
    json.dumps({"k": kinds.REGISTRY_UPDATE, "rows": {"w": []}}),
    json.dumps({"k": kinds.REGISTRY_UPDATE, "rows": {"w": [*REGISTRATION_ROW, 1]}}),
    json.dumps({"k": kinds.REGISTRY_UPDATE, "rows": {"w": [7, *REGISTRATION_ROW[1:]]}}),
    json.dumps({"k": kinds.REGISTRY_UPDATE, "rows": {"w": [*REGISTRATION_ROW[:4], "asleep", 7]}}),
    json.dumps({"k": "prepare", "r": ["config"], "b": [1, 4, "a", 7], "have": [0, 0, "", 0]}),
]


def test_wire_forms_cover_every_message_kind() -> None:
    covered_kinds = {wire["k"] for wire in ALL_FORMS}
    assert covered_kinds == {*DECODERS, kinds.HEARTBEAT, *CONSENSUS_MESSAGE_KINDS}


@pytest.mark.parametrize("wire", ALL_FORMS, ids=lambda wire: wire["k"])
def test_mutated_message_is_decoded_or_raises_peer_message_error(wire: dict) -> None:
    outcomes = [is_malformed(mutation) for mutation in mutations(wire)]  # any other error fails here
    assert any(outcomes)


@pytest.mark.parametrize("wire", ALL_FORMS, ids=lambda wire: wire["k"])
def test_unknown_key_of_later_release_is_ignored(wire: dict) -> None:
    assert decode_message({**wire, "later": {"x": [1]}}) == decode_message(wire)


def test_load_report_of_proxy_is_decoded_without_loss() -> None:
    """Covers workers with and without a reported load, failures, hot keys and a drain plan."""
    balancer = LoadBalancer(2.5)
    balancer.slices.drain_steps = {"w1": "told", "w3": "closing"}
    for number, load in enumerate(("", "1,0,4", "7,12,4", "9" * 30 + ",1,1", "none")):
        observation = balancer.observation(f"w{number}")
        observation.record_response(0.5)
        observation.record_failure(1.0, number == 1)
        observation.record_load(1.5, load)
        observation.request_started(1.5, number == 3)
        if number == 2:
            observation.record_server_error()
        balancer.request_counts.record_request("s", number)
    balancer.request_counts.apply_hot_keys({"s": [[0], [3]]})
    balancer.request_counts.record_request("s", 3)
    balancer.request_counts.record_request("s", 4000)
    report = json.loads(json.dumps(take_report(balancer, 0.5, 2.5).to_wire()))
    assert report["met"]["w2"][3] == [7, 12, 4] and report["met"]["w0"][3] is report["met"]["w3"][3] is None
    assert report["left"] and report["heat"] and report["keys"]
    assert json.loads(json.dumps(decode_message(report).to_wire())) == report


def test_error_for_malformed_message_names_the_invalid_or_missing_key() -> None:
    with pytest.raises(PeerMessageError, match="key have: expected versions, found 'x'"):
        decode_message({"k": kinds.SUBSCRIPTION, "on": True, "have": {"table": "x"}})
    with pytest.raises(PeerMessageError, match="no key r"):
        decode_message({"k": kinds.UPDATE_REQUEST, "have": 0})


def test_update_with_one_malformed_registration_changes_nothing() -> None:
    registry = WorkerRegistry()
    with pytest.raises(PeerMessageError):
        registry.record_all(1.0, {"good": REGISTRATION_ROW, "bad": REGISTRATION_ROW[:3]})
    assert not registry.registrations
    assert WorkerRegistration.from_row(REGISTRATION_ROW[:6]).revision == ""


# --- connections to a peer that sends malformed messages


def test_peer_that_sends_malformed_messages_is_dialled_again_with_backoff() -> None:
    async def run() -> None:
        acceptor, errors = RecordingServer(), []
        async with asyncio.timeout(5), serving(acceptor) as port:

            def handle(connection: object, message: dict) -> None:
                raise KeyError("missing")

            connections = PeerConnections(lambda peer: {"k": "hello"}, handle, lambda *_: None, None)
            connections.on_malformed = errors.append
            connections.keep_connected(HOST, port)
            started_at, connected_after = asyncio.get_running_loop().time(), []
            for text in ('{"k":"pulse"}', "[]", "{no JSON", '{"k":"roll"}'):
                connection, _ = await acceptor.first_messages.get()
                connected_after.append(asyncio.get_running_loop().time() - started_at)
                connection.send(text)
            await acceptor.first_messages.get()
            assert not connections.tasks[HOST].done()
            await connections.close()
        assert [error.peer for error in errors] == [HOST] * 4
        assert errors[0].step == "receive" and str(errors[0]) == "pulse: KeyError('missing')"
        delays = [
            later - earlier for earlier, later in zip(connected_after, connected_after[1:], strict=False)
        ]
        assert delays[0] < delays[1] < delays[2] < MAX_DELAY_AFTER_MALFORMED

    asyncio.run(run())


# --- controller processes


@pytest.fixture
def fleet() -> Iterator[ControllerProcesses]:
    fleet = ControllerProcesses()
    fleet.write_settings(3, 3)
    for number in range(1, 4):
        fleet.start(number)
    fleet.put_configuration()
    fleet.wait_until_settled()
    yield fleet
    fleet.close()


async def send_each(url: str, hello: dict, texts: list[str], closed: list[bool]) -> None:
    """Sends each text on its own connection, and appends to `closed` whether the controller closed it."""
    async with aiohttp.ClientSession() as session:
        for text in texts:
            async with session.ws_connect(url) as websocket:
                await websocket.send_str(json.dumps(hello))
                await websocket.send_str(text)
                closed.append(await is_closed(websocket))


async def is_closed(websocket: aiohttp.ClientWebSocketResponse) -> bool:
    """Whether the peer closes this connection within 1 s. Its messages until then are ignored."""
    closing_types = (web.WSMsgType.CLOSE, web.WSMsgType.CLOSED, web.WSMsgType.CLOSING, web.WSMsgType.ERROR)
    try:
        async with asyncio.timeout(1.0):
            while (await websocket.receive()).type not in closing_types:
                pass
    except TimeoutError:
        return False
    return True


@pytest.mark.parametrize("role", ["archive", "desk"])
def test_controllers_close_connections_with_malformed_messages_and_keep_running(
    role: str, fleet: ControllerProcesses
) -> None:
    hello = {"k": kinds.HELLO, "role": role, "from": fleet.address_of(2), "rows": {}}
    common_forms = [wire for wire in COMMON_FORMS if wire["k"] in controller_kinds(role)]
    forms = [*common_forms, *(CONSENSUS_FORMS if role == "archive" else [])]
    texts, closed = [*malformed_texts(forms), *UNUSABLE_TEXTS], []
    url = f"http://{fleet.address_of(1)}:{PEER_PORT}/link"
    fleet.loop.run_until_complete(send_each(url, hello, texts, closed))
    left_open = [text[:200] for text, was_closed in zip(texts, closed, strict=True) if not was_closed]
    assert len(texts) > 100 and not left_open
    assert all(process.returncode is None for process in fleet.running.values())
    fleet.wait_until_settled()
    fleet.put_configuration()
    fleet.wait_until_read_back()
    events = fleet.log_events(1, "message malformed")
    assert events and all(event["step"] == "receive" and event["peer"] for event in events)


def controller_kinds(role: str) -> set[str]:
    """Returns the kinds, except those of consensus, that a controller handles from this role."""
    if role == "archive":
        return {kinds.HEARTBEAT, kinds.REGISTRY_UPDATE, kinds.REGISTRY_ACKNOWLEDGEMENT}
    return {
        kinds.SUBSCRIPTION,
        kinds.UPDATE_REQUEST,
        kinds.LOAD_REPORT,
        kinds.CONFIRMATION_REQUEST,
        kinds.REMOVE_READERS,
        kinds.REGISTRY_UPDATE,
    }
