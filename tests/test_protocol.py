"""The platform's protocol without sockets: each message in its direction, cut bytes, spoilt bytes."""

import json
import random

import pytest

from bramblewood import events
from bramblewood.net.protocol import frames, http, relay, worker_list
from bramblewood.net.protocol.fields import InvalidMessage, ProtocolError, parse_load_body
from bramblewood.net.transport.buffer import Buffer, Overfull

from .helper import fill, pieces, spoilt

LOAD = {
    "t": "LOAD",
    "zone": "a",
    "server": "s1",
    "tries": 212,
    "failed": 3,
    "mean_ms": 41.5,
    "span_ms": 1000.0,
    "load": {"inflight": 7, "util": 0.61, "queue": 2},
}
SHARD = {"t": "SHARD", "slice": 88, "class": "look", "tries": 40, "failed": 1, "span_ms": 500.0}
ITEM = {
    "id": "s1",
    "addr": "127.0.0.1:3000",
    "zone": "a",
    "kind": "m2",
    "cell": 3,
    "state": "up",
    "weight": 1.5,
    "started_ms": 1500,
}


def taken(chunks):
    buffer, found = Buffer(), []
    for chunk in chunks:
        fill(buffer, chunk)
        while (message := frames.read_message(buffer)) is not None:
            found.append(message)
    return found


def test_reports_become_events_in_our_units():
    assert frames.parse_report(LOAD, frames.Scope(), set()) == events.WorkerReported(
        "s1", "a", 212, 3, 0.0415, 1.0, {"in_flight": 7, "utilization": 0.61, "queued": 2}
    )
    assert frames.parse_report(SHARD, frames.Scope(), set()) == events.SliceHeatReported(
        88, "look", 40, 1, 0.5
    )


def test_more_may_fail_in_a_span_than_were_tried_in_it():
    """Guards the view of the failing: a worker that had died was told of so, and the report was skipped."""
    heard = frames.parse_report({**LOAD, "tries": 0, "failed": 2, "mean_ms": 0.0}, SCOPE, set())
    assert (heard.attempts, heard.unanswered) == (0, 2)


def test_load_words_are_those_that_the_collectors_send():
    """Guards against a module gone blind: the page says util and queue, the first day cpu and waiting."""
    unknown = set()
    heard = frames.parse_report(
        {**LOAD, "load": {"cpu": 0.3, "waiting": 4.5, "odd": 1}}, frames.Scope(), unknown
    )
    assert heard.load == {"utilization": 0.3, "queued": 4.5} and unknown == {"odd"}
    for number in range(99):
        frames.parse_report({**LOAD, "load": {f"odd-{number}": 1}}, frames.Scope(), unknown)
    assert len(unknown) < 20  # a stranger's words are not kept without bound
    found = parse_load_body(b"inflight=7,queue=2,util=0.61,x=,=\r\n")
    assert found == {"in_flight": 7.0, "queued": 2.0, "utilization": 0.61}


SCOPE = frames.Scope(["a", "b"], ["look", "pay"], 89, {"s1": None})


@pytest.mark.parametrize(
    "message",
    [
        {},
        {"t": "ODD"},
        {"t": 3},
        {**LOAD, "server": None},
        {**LOAD, "tries": -1},
        {**LOAD, "tries": "9"},
        {**LOAD, "mean_ms": float("nan")},
        {**LOAD, "span_ms": float("inf")},
        {**LOAD, "failed": True},
        {**SHARD, "slice": 1.5},
        {**SHARD, "class": 4},
        {**LOAD, "server": "s-zz"},
        {**LOAD, "zone": "c"},
        {**LOAD, "failed": 10**9},
        {**LOAD, "failed": 1.5},
        {**LOAD, "tries": 10**9},
        {**LOAD, "mean_ms": 1e9},
        {**LOAD, "span_ms": 0},
        {**LOAD, "span_ms": 1e12},
        {**LOAD, "load": [1]},
        {**LOAD, "load": "x"},
        {**LOAD, "load": {"util": -1}},
        {**LOAD, "load": {"util": True}},
        {**LOAD, "load": {"util": "0.5"}},
        {**SHARD, "slice": 89},
        {**SHARD, "slice": [1]},
        {**SHARD, "class": "odd"},
        {**SHARD, "failed": "4"},
        {**SHARD, "tries": 1e15, "failed": 0},
        {**SHARD, "span_ms": 0},
        *({k: v for k, v in LOAD.items() if k != gone} for gone in LOAD if gone != "load"),
        *({k: v for k, v in SHARD.items() if k != gone} for gone in SHARD),
    ],
)
def test_a_report_spoilt_in_any_part_is_skipped_whole(message):
    """Guards the module's view: one such mean time was seen to make 22 of 30 workers look strained."""
    unknown = set()
    with pytest.raises(InvalidMessage):
        frames.parse_report(message, SCOPE, unknown)
    assert (
        not unknown and frames.parse_report(LOAD, SCOPE, set()) and frames.parse_report(SHARD, SCOPE, set())
    )


def test_frames_come_whole_out_of_pieces_of_any_size():
    for seed in range(40):
        dice = random.Random(seed)
        sent = [{"t": "X", "pad": "p" * dice.choice([0, 3, 900, 70000])} for _ in range(dice.randint(1, 12))]
        assert taken(pieces(dice, b"".join(map(frames.frame, sent)))) == sent


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x10\x00\x01",
        b"\xff\xff\xff\xff{}",
        b"\x00\x00\x00\x02[]",
        b"\x00\x00\x00\x01{",
        b"\x00\x00\x00\x00",
    ],
)
def test_a_broken_frame_ends_the_connection(data):
    with pytest.raises(ProtocolError):
        taken([data])


def test_the_buffer_grows_compacts_and_is_capped():
    buffer = Buffer(most=100_000)
    for _ in range(50):  # more passes through than it may hold
        fill(buffer, b"x" * 9000)
        assert buffer.take(8000) == b"x" * 8000
    assert len(buffer) == 50_000 and len(buffer.data) <= 100_000
    with pytest.raises(Overfull):
        while True:
            fill(buffer, b"y" * len(buffer.room(4096)))
    assert buffer.take(100_000)[:50_000] == b"x" * 50_000 and len(buffer.data) == 4096


ORDERS = [
    (events.SetRoute(4, "s1", 1.5), "SET,4,s1,1.5"),
    (events.SetRoute(4, "s1", 0.00001), "SET,4,s1,0.000010000000"),
    (events.SetRoute(4, "s1", 0), "SET,4,s1,0.0"),
    (events.ClearTable(4), "DEL,4"),
    (events.ExcludeWorker("s1", True), "OUT,s1"),
    (events.ExcludeWorker("s1", False), "IN,s1"),
    (events.SetAdmission(4, (0, 1), 0.9, 1), "LIMIT,4,look+pay,0.9,1"),
    (events.SetAdmission(events.ALL_SLICES, (), 1, 0), "LIMIT,*,*,1.0,0"),
    (events.RequestAcknowledgement(905, True), "SYNC,905,1"),
]


@pytest.mark.parametrize("order, text", ORDERS)
def test_each_order_has_its_text(order, text):
    assert relay.format_order(order, ["look", "pay"])[1] == text
    assert relay.format_call([text, "DEL,4"]) == f"APPLY {text};DEL,4\r\n".encode()


def test_an_order_without_a_message_has_no_text():
    assert relay.format_order(events.BindProxy(1, 2), ["look"]) is None


NEWS = [
    (b"* SUBSCRIBE 17 a 21.5 1", events.ProxyJoined(17, "a", 21.5, True)),
    (b"*", None),
    (b"* CLOSED 17", events.ProxyLeft(17)),
    (b"* ACK 17 905 310.5", events.MessageAcknowledged(17, 905, 0.3105)),
    (b"* GRANT 88 1", events.SliceAssigned(88, True)),
    (b"* GRANT 88 0", events.SliceAssigned(88, False)),
    (b"* ROW 88 s1 1.0", events.RouteStored(88, "s1", 1.0)),
]


@pytest.mark.parametrize("line, event", NEWS)
def test_each_line_of_news_is_an_event(line, event):
    assert relay.parse_update(line) == event


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"OK",
        b"* ODD 1",
        b"* CLOSED",
        b"* CLOSED x",
        b"* ACK 1 2",
        b"* ROW 1 s -1",
        b"* ROW 1 s nan",
        b"* GRANT 1.5 1",
        b"* SUBSCRIBE 1 a inf 1",
        b"\xff\xfe",
    ],
)
def test_a_line_of_news_that_cannot_be_read_is_skipped(line):
    with pytest.raises(InvalidMessage):
        relay.parse_update(line)


@pytest.mark.parametrize(
    "line, found",
    [
        (b"OK 2", 2),
        (b"OK", None),
        (b"OK x", None),
        (b"error", None),
        (b"ERR limit", "limit"),
        (b"malformed", "malformed"),
        (b"\xff\x00", None),
    ],
)
def test_answers_to_calls(line, found):
    assert relay.parse_answer(line) == found


def test_a_list_is_read_and_what_is_faulty_in_it_skipped():
    found = {
        "version": 43,
        "full": False,
        "servers": [
            {**ITEM, "state": "draining"},
            {**ITEM, "state": "odd"},
            7,
            {**ITEM, "id": 4},
            {**ITEM, "weight": -1},
            {**ITEM, "id": "s2", "state": "removed", "started_ms": 0},
        ],
    }
    version, event, addresses, problems = worker_list.parse_worker_list(json.dumps(found).encode())
    assert version == 43 and len(problems) == 4 and addresses == {"s1": ITEM["addr"], "s2": ITEM["addr"]}
    assert event == events.WorkersListed(
        (
            events.ListedWorker("s1", events.DRAINING, 1.5, "a", 3, "m2", 1.5),
            events.ListedWorker("s2", events.DEREGISTERED, 1.5, "a", 3, "m2", None),
        ),
        version=43,
    )
    assert worker_list.parse_worker_list({"version": 1, "servers": []}, cached=True)[
        1
    ] == events.WorkersListed((), True, True, 1)


@pytest.mark.parametrize(
    "data",
    [
        b"{",
        b"[]",
        b"{}",
        b'{"version":1}',
        b'{"version":"1","servers":[]}',
        b'{"version":1,"servers":{}}',
        b"\xff",
    ],
)
def test_what_is_no_list_ends_the_watch(data):
    with pytest.raises(ProtocolError):
        worker_list.parse_worker_list(data)


CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{"a":\r\n4\r\n1}\n\n\r\n3\r\n{}\n\r\n'


def test_a_watch_brings_whole_lines_out_of_chunks_cut_anywhere():
    for seed in range(30):
        answer, lines = http.HttpResponse(), []
        for piece in pieces(random.Random(seed), CHUNKED):
            answer.feed(piece)
            lines += answer.lines()
        assert lines == [b'{"a":1}', b"", b"{}"] and answer.status == 200 and not answer.complete


def test_spoilt_bytes_bring_nothing_but_the_two_known_complaints():
    """Guards against anything from outside that could end the process."""
    whole = {
        "frames": b"".join(map(frames.frame, [LOAD, SHARD, {"t": "PING"}])),
        "http": CHUNKED,
        "news": b"\r\n".join(line for line, _ in NEWS),
        "list": json.dumps({"version": 1, "full": True, "servers": [ITEM, ITEM]}).encode(),
    }
    complaints = 0
    for seed in range(1500):
        dice = random.Random(seed)
        kind = dice.choice(sorted(whole))
        data = spoilt(dice, whole[kind])
        try:
            if kind == "frames":
                for message in taken(pieces(dice, data)):
                    frames.parse_report(message, frames.Scope(), set())
            elif kind == "http":
                answer = http.HttpResponse()
                for piece in pieces(dice, data):
                    answer.feed(piece)
                    answer.lines()
            elif kind == "news":
                for line in data.split(b"\r\n"):
                    relay.parse_update(line)
                    relay.parse_answer(line)
            else:
                worker_list.parse_worker_list(data)
            parse_load_body(data)
        except (InvalidMessage, ProtocolError):
            complaints += 1
    assert complaints > 500
