"""Stand-in engine of the platform: whole answers, streams, orders, and faults that tests set."""

import asyncio
import json
import math
import os
import time
from contextlib import suppress
from dataclasses import dataclass, field
from functools import cache

from aiohttp import web

from features.standin.connections import reset
from features.standin.cut_answers import HEAD_ALONE, cut_answer, is_cut, send_cut
from features.standin.endless_answers import ENDLESS, send_endless
from features.standin.malformed_answers import is_malformed, send_malformed

SIGNATURE = "stand-in-signature"
# A longer `Retry-After` counts as a mistake of the engine, and nodes need not obey it.
MAX_RETRY_AFTER_S = 600.0


@dataclass
class Arrival:
    """One request that reached an engine.

    Attributes:
        at: when its head arrived, in seconds of the monotonic clock.
        version: the weight version on which it began, if it names a model.
        refused: whether it was refused and not run.
        ran: whether it was run.
        finished: whether its answer was complete.
        cut: whether its connection was closed before the answer was complete.
        fault: the misbehaviour that its answer shows, or "".
        run: what its pieces say of the run that wrote them, or "".
        copied: the weight versions of the copy with which it continued.
        memory: the weight version under which each event was made.
        ended_at: when the engine ended its work on it, or None.
        lost: whether the engine lost its connection.
        answered_at: when the head of the answer was written, or None.
        announced_leaving: whether the answer announced that the engine leaves.
        retry_after_s: the valid `Retry-After` of the answer, or 0.
        limit: the rate limit in the answer, in requests per second, or "".
        on_kept: whether its connection has carried another request before.
    """

    attempt_id: str
    method: str
    target: str
    headers: dict
    body: bytes
    at: float
    version: int | None = None
    refused: bool = False
    ran: bool = False
    finished: bool = False
    cut: bool = False
    fault: str = ""
    run: str = ""
    copied: frozenset = frozenset()
    memory: list = field(default_factory=list)
    ended_at: float | None = None
    lost: bool = False
    answered_at: float | None = None
    announced_leaving: bool = False
    retry_after_s: float = 0.0
    limit: str = ""
    on_kept: bool = False

    @property
    def parts(self):
        """The ids of the parts of the prompt that other requests may share."""
        named = self.headers.get("X-Prompt-Prefix", "").split(",")[:-1]
        return [part.partition(":")[0] for part in named]

    def note_answer(self, headers):
        """Record what the answer that is about to be written announces."""
        self.answered_at = time.monotonic()
        self.limit = headers.get("Server-Limit", "")
        self.announced_leaving = headers.get("Server-Leaving") == "1"
        with suppress(ValueError):
            retry_after_s = float(headers.get("Retry-After", 0))
            self.retry_after_s = retry_after_s if 0 < retry_after_s <= MAX_RETRY_AFTER_S else 0.0


# An engine that crashes on a request does so this long after the request has begun.
CRASHES_AFTER_S = 0.05


# Endings of answers without a length or chunks, which end with their connection: what follows the
# second event of a stream, or None for all events.
UNFRAMED_ENDINGS = {
    "unframed_complete": None,
    "unframed_after_event": b"",
    "unframed_in_name": b"i",
    "unframed_in_value": b"id: 3\ndata: to",
    "unframed_after_line": b"id: 3\ndata: token 3\n",
}


# By default the connections of an engine that crashes are reset. With "close" in this environment
# variable they are closed in order, as the kernel does for a process that left no byte unread.
CRASH_VARIABLE = "LIFTRILL_STAND_IN_CRASH"
CLOSE = "close"


def end_connection(transport):
    """End a connection of an engine that crashes."""
    if os.environ.get(CRASH_VARIABLE) == CLOSE:
        transport.abort()
    else:
        reset(transport)


# Begins the name of a fault with the status with which the engine answers a request that it ran.
OWN_STATUS = "own_"
MISBEHAVIOURS = {
    "close",
    "hang",
    "fail",
    "reset_unframed",
    "end",
    "extra_garbage",
    *UNFRAMED_ENDINGS,
    *ENDLESS,
}


# The kinds of answers in which an engine may announce that it leaves.
ANSWER_KINDS = frozenset(("whole", "head", "refusal", "report", "order"))
# The kinds that answer a caller's request.
REQUEST_ANSWERS = frozenset(("whole", "head", "refusal"))

# The copies of runs that engines of this process hold for each other, by ADDRESS/ID: the weight
# version under which each event of the run was made, and the label of the run.
held_backups = {}


# How the end of an answer is marked: a stream with `length` has events of one size each.
CHUNKS, LENGTH, CONNECTION = "chunks", "length", "connection"
FRAMINGS = (CHUNKS, LENGTH, CONNECTION)
# An engine that marks the ends of its answers in all three ways, by the ids of the requests.
MIXED = "mixed"
# The number of pieces in which an engine writes a whole answer that takes time.
BODY_PIECES = 10


# The size of each numbered piece of a large body.
PIECE_BYTES = 8


@cache
def numbered_pieces(size):
    """Return so many bytes, of which none can be moved unnoticed."""
    pieces = range(-(-size // PIECE_BYTES))
    return b"".join(b"%0*d" % (PIECE_BYTES, number) for number in pieces)[:size]


def whole_body(attempt_id, size):
    """Return the body of a whole answer, of the given size or longer."""
    text = f"answer to {attempt_id}".encode()
    return text + numbered_pieces(max(0, size - len(text)))


class UnframedResponse(web.StreamResponse):
    """An answer without a length or chunks, which ends with its connection."""

    # aiohttp then leaves the body without framing, as for WebSockets.
    _length_check = False


# Part of the paths of the routes whose streams may be resumed.
RESUMABLE = "resume"
# Ways in which an engine loses the connection of a stream after its second event and goes on with
# the run: what it writes before, and whether the connection is reset.
LOST_CONNECTIONS = {
    "closes the connection": (b"", False),
    "resets the connection": (b"", True),
    "resets the connection inside an event": (b"id: 3\nda", True),
}


def scripted_event(name):
    """Return the event of a name such as "A3", which has id 3, or "Ax", which has none."""
    id_line = f"id: {name[1:]}\n" if name[1:].isdigit() else ""
    return f"{id_line}data: {name}\n\n"


@dataclass
class StandInEngine:
    """One incarnation of an engine.

    Attributes:
        fault: applied to the next request: "shed", "shed_without_id", "close", "crossed",
            "extra", "extra_late", "reset_unframed", "torn", "torn_crash", "hang", "fail",
            "extra_garbage", "unsigned", "own_NNN" for an own status, a key of ENDLESS, or a place
            where its answer stops and how its connection ends, such as "in the status line, reset".
        dies_in_report: whether it ends in its report after an answer without a length or chunks:
            its connections are closed in order, and the head of the report is all that is sent.
        fault_needs: the name of a header without which a request meets no fault, or "".
        body_bytes: the size of its whole answers, or 0 for a short text.
        refuses_orders: whether it answers orders as if it were busy.
        crashes_on: the bodies of the requests that crash it.
        crashes_on_parts: the ids of the prompt parts that crash it when it begins an answer.
        crashes_after_s: how long after a request has begun it crashes.
        crashes_after_event: whether it sends the first event of a stream before it crashes.
        born_unix_ms: its start time in its record, or 0 to leave it out.
        crashed: set once it has crashed, with the time in `crashed_at`.
        crashed_on: the body of the request that crashed it, or None.
        event_bytes: the number of filler bytes added to each event.
        leaving_in: the kinds of its answers that announce its leaving, a subset of ANSWER_KINDS.
        retry_after: the `Retry-After` with which it refuses every request, or "".
        limit: the `Server-Limit` in its answers, or "".
        limit_in: the kinds of its answers that contain the limit.
        refused_of_ten: how many of ten requests it refuses.
        software_version: the version of its software.
        names_version: whether each event of its streams states that version.
        drains: whether it drains, as a test has announced.
        limit_periods: the start, the end and the value of each limit that a soak set.
        loses: the way in which it loses connections, a key of LOST_CONNECTIONS, or "".
        loses_every: one of how many new streams loses its connection.
        drops_lost: whether it drops the run of a lost connection.
        framing: how its answers end: with a last chunk, a length, or only with their connection.
        body_seconds: how long it takes to write a whole answer, in pieces.
        may_end: the event that its whole answers in pieces await before their last one, or None.
        scripts: what the next streams consist of, as in `_play`; engines may share them.
        run_label: named with each run in the pieces of its answers, and unlike that of any other
            incarnation, or "". The pieces of resumable streams name their request alone.
        exits_after_s: how long after its last answer it exits as it leaves.
        closes_after_s: how long after a stream in chunks it closes the connection, which it does
            not announce, or None.
        report_seconds: how long it takes to answer for its report.
    """

    engine_id: str
    service: str
    zone: str = "zone-1"
    weights: dict = field(default_factory=dict)
    events: int = 4
    event_seconds: float = 0.01
    event_bytes: int = 0
    load_seconds: float = 0.2
    fault: str = ""
    fault_count: int = 1
    fault_needs: str = ""
    dies_in_report: bool = False
    body_bytes: int = 0
    refuses_orders: bool = False
    address: str = ""
    crashes_on: frozenset = frozenset()
    crashes_on_parts: frozenset = frozenset()
    crashes_after_s: float = CRASHES_AFTER_S
    crashes_after_event: bool = False
    crashed_at: float | None = None
    crashed_on: bytes | None = None
    born_unix_ms: int = 0
    leaving_in: frozenset = frozenset()
    retry_after: str = ""
    limit: str = ""
    limit_in: frozenset = REQUEST_ANSWERS
    refused_of_ten: int = 0
    other_headers: dict = field(default_factory=dict)
    slots: int = 8
    software_version: str = "v1"
    names_version: bool = False
    drains: bool = False
    limit_periods: list = field(default_factory=list)
    loses: str = ""
    loses_every: int = 4
    drops_lost: bool = False
    framing: str = CHUNKS
    body_seconds: float = 0.0
    may_end: asyncio.Event | None = None
    scripts: list = field(default_factory=list)
    run_label: str = ""
    exits_after_s: float = 0.0
    closes_after_s: float | None = None
    report_seconds: float = 0.0

    def __post_init__(self):
        self.crashed = asyncio.Event()
        self.arrivals = []
        self.reports = []
        self.orders = []
        # The sent bytes and the duration of each endless answer.
        self.endless = []
        self.sequence = 0
        self.highest_fence = 0
        self.loading = False
        self._runner = None
        self._streams = 0
        self._lost_runs = set()
        self._peers = set()
        self._is_dying = False
        self.copies = held_backups

    async def start(self, port=0, listening=None):
        """Listen at a port, or on a socket that listens already."""
        self._server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.1)
        await self._runner.setup()
        if listening is not None:
            site = web.SockSite(self._runner, listening)
        else:
            site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self):
        await self._runner.cleanup()

    @property
    def runner(self):
        return self._runner

    async def _crash_on(self, body):
        if not self.crashed.is_set():
            self.crashed_on = body
            await self.crash()

    async def crash(self, port_closes_after_s=0.0):
        """Stop listening and end the open connections, as when the process dies."""
        if not port_closes_after_s:
            await self._stop_listening()
        for handler in list(self._server.connections):
            if handler.transport is not None:
                end_connection(handler.transport)
        if port_closes_after_s:
            await asyncio.sleep(port_closes_after_s)
            await self._stop_listening()
        for run in self._lost_runs:
            run.cancel()
        self.crashed_at = time.monotonic()
        self.crashed.set()

    async def _stop_listening(self):
        for site in list(self._runner.sites):
            await site.stop()

    def record(self, state="ready"):
        models = [{"Name": n, "Version": v, "Adapters": []} for n, v in self.weights.items()]
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.software_version,
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Stage": "colocated",
            "Models": models,
            "SeqNo": 1,
            **({"born": self.born_unix_ms} if self.born_unix_ms else {}),
        }

    async def _handle(self, request):
        arrived_at = time.monotonic()
        expected = request.headers.get("X-Expect-Instance")
        if expected not in (None, self.engine_id):
            return self._misdirected(request)
        if request.path == "/liftrill/report":
            self.reports.append(arrived_at)
            if self._is_dying:
                return await self._die(request)
            await asyncio.sleep(self.report_seconds)
            return web.json_response(self._report(), headers=self._announcements("report"))
        if request.path == "/liftrill/order":
            return self._order(json.loads(await request.read()))
        arrival = Arrival(
            request.headers.get("X-Attempt-Id", ""),
            request.method,
            request.raw_path,
            dict(request.headers.items()),
            await request.read(),
            arrived_at,
        )
        peer = request.transport.get_extra_info("peername")
        arrival.on_kept = peer in self._peers
        self._peers.add(peer)
        self.arrivals.append(arrival)
        try:
            return await self._serve(request, arrival)
        except asyncio.CancelledError:
            arrival.cut = True
            raise
        except ConnectionResetError:
            arrival.cut = True
            return web.Response()
        finally:
            if not arrival.lost:
                arrival.ended_at = time.monotonic()

    def _misdirected(self, request):
        headers = {
            "X-Instance-Id": self.engine_id,
            "X-Attempt-Id": request.headers.get("X-Attempt-Id", ""),
        }
        return web.Response(status=421, headers=headers)

    def _announcements(self, answer):
        leaving = {"Server-Leaving": "1"} if answer in self.leaving_in else {}
        limit = {"Server-Limit": self.limit} if self.limit and answer in self.limit_in else {}
        return leaving | limit | self.other_headers

    def _shed(self, attempt_id):
        headers = {"X-Not-Executed": "1", **self._announcements("refusal")}
        if self.retry_after:
            headers["Retry-After"] = self.retry_after
        if attempt_id:
            headers["X-Attempt-Id"] = attempt_id
        return web.Response(status=503, headers=headers)

    def _report(self):
        models = [{"Name": n, "Version": v, "Adapters": []} for n, v in self.weights.items()]
        born = {"born": self.born_unix_ms} if self.born_unix_ms else {}
        return {"Models": models, "Utilization": self.loading, "SeqNo": self.sequence, **born}

    def _order(self, body):
        if body["Fence"] < self.highest_fence:
            return web.Response(status=412, headers=self._announcements("order"))
        is_busy = self.loading or self.refuses_orders
        if body.get("Expected") not in (None, self.sequence) or is_busy:
            return web.Response(status=409, headers=self._announcements("order"))
        self.highest_fence = body["Fence"]
        self.orders.append(body)
        self.sequence += 1
        self.loading = True
        asyncio.get_running_loop().call_later(self.load_seconds, self._loaded, body)
        return web.Response(status=202, headers=self._announcements("order"))

    def _loaded(self, body):
        self.loading = False
        self.weights[body["Model"]] = body["Version"]

    async def copy_run(self, arrival, holder):
        """Let the engine at an address hold a copy of a run."""
        self.copies[f"{holder}/{arrival.attempt_id}"] = (arrival.memory, arrival.run)

    def began(self, arrival):
        """Handle that a request is about to be run."""

    def _take_fault(self):
        fault = self.fault
        if fault and self.fault_count:
            self.fault_count -= 1
            return fault
        return ""

    async def _serve(self, request, arrival):
        is_met = not self.fault_needs or self.fault_needs in request.headers
        fault = self._take_fault() if is_met else ""
        # 3 and 10 have no common divisor, so the refused requests are spread over the ten.
        is_refused = 3 * len(self.arrivals) % 10 < self.refused_of_ten
        if fault in ("shed", "shed_without_id") or self.retry_after or is_refused:
            arrival.refused = True
            answer = self._shed("" if fault == "shed_without_id" else arrival.attempt_id)
            arrival.note_answer(answer.headers)
            return answer
        version = request.headers.get("X-Expect-Version")
        model = request.headers.get("X-Model")
        if version is not None and int(version) != self.weights.get(model):
            return self._misdirected(request)
        backup = request.headers.get("Kv-From")
        if backup is not None and backup not in self.copies:
            return self._shed(arrival.attempt_id)
        label = f"/{self.run_label}/{arrival.at:.6f}" if self.run_label else ""
        memory, arrival.run = self.copies.get(backup, ((), label))
        arrival.copied, arrival.memory = frozenset(memory), list(memory)
        if "X-Kv-Backup" in request.headers:
            await self.copy_run(arrival, request.headers["X-Kv-Backup"])
        arrival.version = self.weights.get(model)
        arrival.ran = True
        self.began(arrival)
        if arrival.body in self.crashes_on or not self.crashes_on_parts.isdisjoint(arrival.parts):
            fault = "end"
        headers = {"X-Attempt-Id": arrival.attempt_id, "X-Response-Signature": SIGNATURE}
        if fault == "unsigned":
            del headers["X-Response-Signature"]
        if fault in MISBEHAVIOURS or fault.startswith(OWN_STATUS):
            arrival.fault = fault
            return await self._misbehave(request, headers, fault)
        sound = self._stream if model else self._whole
        answer = self._send_raw if is_cut(fault) or is_malformed(fault) else sound
        return await answer(request, arrival, headers, fault)

    async def _send_raw(self, request, arrival, headers, fault):
        arrival.fault = fault
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        is_stream = "X-Model" in request.headers
        kind = "text/event-stream" if is_stream else "application/octet-stream"
        body = self._text(arrival, first) if is_stream else self._body(arrival).decode()
        send = send_cut if is_cut(fault) else send_malformed
        await send(request.transport, fault, {**headers, "Content-Type": kind}, body)
        return web.Response()

    async def _misbehave(self, request, headers, fault):
        if fault in ENDLESS:
            await send_endless(request.transport, headers, fault, self.endless)
            return web.Response()
        if fault == "extra_garbage":
            return await self._answer_with_garbage(request, headers)
        if fault in UNFRAMED_ENDINGS:
            return await self._answer_unframed(request, headers, UNFRAMED_ENDINGS[fault])
        if fault == "hang":
            await asyncio.sleep(30)
        if fault == "fail" or fault.startswith(OWN_STATUS):
            status = int(fault.removeprefix(OWN_STATUS)) if fault != "fail" else 500
            return web.Response(status=status, body=b"failed", headers=headers)
        if fault == "reset_unframed":
            return await self._reset_unframed(request, headers)
        if fault == "end":
            await self._begin_and_crash(request, headers)
        request.transport.close()
        return web.Response()

    async def _answer_unframed(self, request, headers, ending):
        """Answer without a length or chunks, and close the connection in order."""
        is_stream = "X-Model" in request.headers
        kind = "text/event-stream" if is_stream else "text/plain"
        lines = "".join(f"{n}: {v}\r\n" for n, v in {**headers, "Content-Type": kind}.items())
        request.transport.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        if is_stream:
            count = self.events if ending is None else 2
            for number in range(1, count + 1):
                request.transport.write(f"id: {number}\ndata: token {number}\n\n".encode())
                await asyncio.sleep(self.event_seconds)
            request.transport.write(ending or b"")
        else:
            request.transport.write(f"answer to {headers['X-Attempt-Id']}".encode())
        await asyncio.sleep(self.event_seconds)
        self._is_dying = self.dies_in_report
        request.transport.close()
        return web.Response()

    async def _die(self, request):
        await self._stop_listening()
        request.transport.write(cut_answer(HEAD_ALONE, {}, ""))
        request.transport.close()
        await self.crash()
        return web.Response()

    async def _begin_and_crash(self, request, headers):
        if self.crashes_after_event:
            headers = {**headers, "Content-Type": "text/event-stream"}
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            await response.write(b"id: 1\ndata: token 1\n\n")
        await asyncio.sleep(self.crashes_after_s)
        await self._crash_on(await request.read())

    async def _whole(self, request, arrival, headers, fault):
        if fault == "crossed":
            headers["X-Attempt-Id"] = "0000000000000000"
        headers = {**headers, **self._announcements("whole")}
        arrival.note_answer(headers)
        body = self._body(arrival)
        if self.framing != CHUNKS or self.body_seconds:
            return await self._in_pieces(request, arrival, headers, body)
        response = web.Response(body=body, headers=headers)
        if fault in ("extra", "extra_late"):
            await self._send_twice(request, response, 0.05 if fault == "extra_late" else 0.0)
        arrival.finished = True
        return response

    async def _in_pieces(self, request, arrival, headers, body):
        response = self._response(headers, lambda: len(body))
        await response.prepare(request)
        size = math.ceil(len(body) / BODY_PIECES)
        began_at = time.monotonic()
        for start in range(0, len(body), size):
            if start:
                await self._pause(began_at, start // size, self.body_seconds / BODY_PIECES)
            if self.may_end is not None and start + size >= len(body):
                await self.may_end.wait()
            await response.write(body[start : start + size])
        arrival.finished = True
        await response.write_eof()
        return response

    async def _pause(self, began_at, number, pause_s):
        """Wait before the next piece of an answer.

        The pieces of answers that end with their connections are due at times counted from the
        beginning, so that answers that did not begin together do not end together after a stall.
        """
        if self.framing == CONNECTION:
            pause_s = max(0.0, began_at + number * pause_s - time.monotonic())
        await asyncio.sleep(pause_s)

    def framing_of(self, attempt_id):
        """Return how the answer to a request ends."""
        if self.framing == MIXED:
            return FRAMINGS[int(attempt_id, 16) % len(FRAMINGS)]
        return self.framing

    def _response(self, headers, size):
        """Return a response with this engine's framing, which is to have `size()` bytes.

        The size is asked for only if it is sent: the text of a long stream takes long to build,
        and the engines, the store and the callers of a test share one event loop.
        """
        framing = self.framing_of(headers["X-Attempt-Id"])
        kind = UnframedResponse if framing == CONNECTION else web.StreamResponse
        response = kind(headers=headers)
        if framing == CONNECTION:
            response.force_close()
        elif framing == LENGTH:
            response.content_length = size()
        return response

    async def _send_twice(self, request, response, pause):
        await response.prepare(request)
        await response.write_eof()
        extra = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: 0\r\nContent-Length: 5\r\n\r\nextra"
        if pause:
            asyncio.get_running_loop().call_later(pause, request.transport.write, extra)
        else:
            request.transport.write(extra)

    async def _answer_with_garbage(self, request, headers):
        """Send a complete answer and more bytes in one segment, and leave the connection open."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"HTTP/1.1 200 OK\r\n{lines}Content-Length: 5\r\n\r\n"
        request.transport.write(f"{head}whole and more".encode())
        await asyncio.sleep(1.0)
        return web.Response()

    async def _reset_unframed(self, request, headers):
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        request.transport.write(f"HTTP/1.1 200 OK\r\n{lines}\r\nhalf".encode())
        await asyncio.sleep(0.05)
        reset(request.transport)
        return web.Response()

    def _lose(self, request, arrival, left_seconds):
        """End the connection of a stream; go on with its run unless that is dropped."""
        ending, is_reset = LOST_CONNECTIONS[self.loses]
        arrival.lost = True
        request.transport.write(ending)
        if is_reset:
            reset(request.transport)
        else:
            request.transport.close()
        run = asyncio.ensure_future(asyncio.sleep(0.0 if self.drops_lost else left_seconds))
        run.add_done_callback(lambda _: setattr(arrival, "ended_at", time.monotonic()))
        run.add_done_callback(self._lost_runs.discard)
        self._lost_runs.add(run)

    def _body(self, arrival):
        if self.run_label:
            return self._text(arrival).encode()
        return whole_body(arrival.attempt_id, self.body_bytes)

    def _text(self, arrival, first=1):
        """Return all events of a run from one on."""
        numbers = range(first, self.events + 1)
        return "".join(self._event(number, arrival) for number in numbers)

    def _label(self, arrival):
        if not self.run_label:
            return f"{self.software_version} " if self.names_version else ""
        run = "" if RESUMABLE in arrival.target else arrival.run
        return f"{arrival.body.decode()}{run} "

    def _event(self, number, arrival):
        label = self._label(arrival)
        return f"id: {number}\ndata: {label}token {number}{'.' * self.event_bytes}\n\n"

    async def _stream(self, request, arrival, headers, fault):
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        self._streams += first == 1
        loses = self.loses and first == 1 and self._streams % self.loses_every == 0
        headers = {**headers, **self._announcements("head"), "Content-Type": "text/event-stream"}
        arrival.note_answer(headers)
        response = self._response(headers, lambda: len(self._text(arrival, first)))
        await response.prepare(request)
        if self.scripts:
            return await self._play(request, arrival, response, self.scripts.pop(0))
        began_at = time.monotonic()
        for number in range(first, self.events + 1):
            event = self._event(number, arrival)
            version = self.weights.get(request.headers.get("X-Model"))
            if arrival.memory and arrival.memory[-1] != version:
                # An order retains the runs; each says from which event on the weights are others.
                event = f"x-weight-versions: {version}\n{event}"
            arrival.memory.append(version)
            await response.write(event.encode())
            if self.framing == CONNECTION and number == self.events:
                # The end of the connection marks the end of the answer, so that it comes at once.
                break
            await self._pause(began_at, number - first + 1, self.event_seconds)
            if loses and number == first + 1:
                self._lose(request, arrival, (self.events - number) * self.event_seconds)
                return response
            if fault in ("torn", "torn_crash") and number == first + 1:
                await response.write(f"id: {number + 1}\ndata: to".encode())
                await asyncio.sleep(0.02)
                if fault == "torn_crash":
                    await self._crash_on(arrival.body)
                reset(request.transport)
                return response
        arrival.finished = True
        await response.write_eof()
        if self.closes_after_s is not None:
            await asyncio.sleep(self.closes_after_s)
            request.transport.close()
        return response

    async def _play(self, request, arrival, response, script):
        """Send a stream's events: "A3" has id 3, "Ax" has no id, and "A1+A2" are sent at once.

        "lost" resets the connection and "crash" ends the engine; otherwise the stream ends as
        complete.
        """
        for names in script.split():
            if names == "lost":
                reset(request.transport)
                return response
            if names == "crash":
                await self.crash()
                return response
            await response.write("".join(map(scripted_event, names.split("+"))).encode())
            await asyncio.sleep(self.event_seconds)
        arrival.finished = True
        await response.write_eof()
        return response
