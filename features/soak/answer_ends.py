"""Engines in processes of their own that end during a soak, and callers that read their answers.

The answers of an engine end with a last chunk, with a length or only with their connection. The
engines are killed, reset their connections, or leave in order; some start again at their address.
What callers hold at the end decides: each piece of an answer names the run that wrote it, or only
the request if the stream is resumable, so that a new run writes the same pieces.
"""

import asyncio
import itertools
import random
import re
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from features.soak.fleet import now_unix_ms
from features.soak.history import RESUMED, Call, Violation
from features.standin.deployment import HOST
from features.standin.engine import CONNECTION, FRAMINGS, MIXED
from features.standin.engine_process import EngineProcess
from liftrill.bench.launcher import free_ports

DESK, MODEL = "ends-desk", "ends-llm"
MODEL_NAME = "model-of-ends"
WHOLE, SAFE, STREAM, RESUME = "ends-whole", "ends-safe", "ends-stream", "ends-resume"
KINDS = {WHOLE: "non_idempotent", SAFE: "idempotent", STREAM: "streaming", RESUME: "streaming"}
CONFIGURATION = {
    "extra_routes": [
        (name, f"/{name}/", kind, MODEL if kind == "streaming" else DESK)
        for name, kind in KINDS.items()
    ],
    "extra_services": [
        {"Name": DESK, "MaxConnections": 100},
        {
            "Name": MODEL,
            "MaxConnections": 100,
            "Engine": {
                "KvCapacity": 100_000,
                "Models": [{"Name": MODEL_NAME}],
                "Backups": True,
            },
        },
    ],
    "resumable": ("resume", RESUME),
}
ENGINES = {DESK: 3, MODEL: 4}
SLOTS = 32
PIECES, PIECE_S, BODY_S = 20, 0.04, 0.3
# Filler in each piece: answers that fit into the buffers of sockets, and others that don't.
FILLER_BYTES = (0, 300, 20_000)
PIECE = re.compile(rb"id: (\d+)\ndata: (\S+) token \d+(\.*)\n\n")
# Between two engines that end.
SPACING_S = (0.2, 0.9)
KILLED, RESET, LEFT, KILLED_LEAVING = "killed", "reset", "left", "killed while leaving"
WAYS = (KILLED, KILLED, RESET, LEFT, LEFT, KILLED_LEAVING)
RESTART_SHARE = 0.4
RESTARTS_AFTER_S = (0.0, 0.6)
RECORD_REMOVED_AFTER_S = (0.0, 2.0)
# From the record that says draining until the engine stops listening.
DRAINS_S = (0.3, 1.5)
EXITS_AFTER_S = (0.0, 0.0, 0.005, 0.01, 0.2)
# An engine that leaves completes its answers within the callers' timeout.
CALL_TIMEOUT_S = 6.0
CALLERS_PER_ROUTE = 6
SLOW_SHARE = 0.2
# A slow caller reads so much at once, and then pauses.
SLOW_READ_BYTES, SLOW_PAUSE_S = 4096, (0.0, 0.1)
LEAVES_SHARE = 0.2
# Only runs of so many output tokens as the second are copied to other engines.
OUTPUT_TOKENS = (20, 1024)
MAX_ATTEMPTS = 6
RETRY_PAUSE_S = 0.2
OK = 200
COMPLETE, IN_ORDER, ONE_RUN = (
    "an answer that says whole is whole",
    "pieces in order",
    "pieces of one run",
)


@dataclass
class Attempt:
    """One request of a caller, and the bytes that answered it.

    Attributes:
        said_whole: whether the answer ended as a complete one does.
    """

    request_id: str
    node: str
    sent_at: float
    status: int | None = None
    data: bytes = b""
    said_whole: bool = False
    connected: bool = True
    ended_at: float = 0.0

    @property
    def pieces(self):
        """The number, the label and the filler of each whole piece."""
        return [(int(number), label, filler) for number, label, filler in PIECE.findall(self.data)]

    @property
    def rest(self):
        """What is left of the answer without its whole pieces."""
        return PIECE.sub(b"", self.data)


@dataclass
class Reading:
    """An answer over all attempts of its caller; only resumable streams have several."""

    route: str
    text: str
    attempts: list = field(default_factory=list)

    @property
    def served(self):
        return [attempt for attempt in self.attempts if attempt.status == OK]

    @property
    def pieces(self):
        return [piece for attempt in self.served for piece in attempt.pieces]

    @property
    def said_whole(self):
        return any(attempt.said_whole for attempt in self.served)


def check_reading(reading, filler_bytes):
    """Return the violations that one caller's bytes show."""
    numbers = [number for number, _, _ in reading.pieces]
    labels = {label.decode() for _, label, _ in reading.pieces}
    fillers = {len(filler) for _, _, filler in reading.pieces}
    trace = "; ".join(
        f"{a.request_id} at {a.node} for {a.ended_at - a.sent_at:.2f} s: status {a.status}, "
        f"{len(a.pieces)} pieces, whole {a.said_whole}"
        for a in reading.attempts
    )
    first_id = reading.attempts[0].request_id
    if numbers != list(range(1, len(numbers) + 1)):
        yield Violation(IN_ORDER, first_id, f"{reading.route}: {numbers}; {trace}")
    # A caller that resumes a stream drops the part of a piece at the end of the answer before.
    rest = any(attempt.rest for attempt in reading.served if attempt.said_whole)
    lacks = len(numbers) < PIECES or rest or fillers != {filler_bytes}
    if reading.said_whole and lacks:
        detail = f"{reading.route}: {len(numbers)} pieces, labels {labels}; {trace}"
        yield Violation(COMPLETE, first_id, detail)
    if len(labels) > 1 or not all(_is_own(label, reading) for label in labels):
        yield Violation(ONE_RUN, first_id, f"{reading.route}: {labels}; {trace}")


def _is_own(label, reading):
    """Return whether a label names the caller's request, and a run unless that is resumable."""
    request, _, run = label.partition("/")
    return request == reading.text and bool(run) == (reading.route != RESUME)


class AnswerEnds:
    """Ends such engines and calls them; the draws depend on the seed alone."""

    def __init__(self, fleet, seed, calls):
        self._fleet = fleet
        self._seed = seed
        self._calls = calls
        self._ends = random.Random(f"{seed}/answer ends")
        self._random = random.Random(f"{seed}/answer callers")
        self._filler_bytes = self._ends.choice(FILLER_BYTES)
        self._ids = itertools.count(1)
        self._engine_ids = itertools.count(1)
        self._starts = itertools.count(1)
        self._incarnations = []
        self._left = set()
        self._ending = set()
        self._ports = set()
        self._session = None
        self.readings = []
        self.ways = Counter()
        fleet.extra_configuration = CONFIGURATION

    async def run_for(self, seconds):
        """End engines and call them for some time; end the engines that are left."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        try:
            async with aiohttp.ClientSession(connector=connector) as self._session:
                for service, count in ENGINES.items():
                    await asyncio.gather(*(self._add(service) for _ in range(count)))
                # On a busy machine the engines take seconds to start.
                until = time.monotonic() + seconds
                callers = (
                    self._call_on(route, until)
                    for route, _ in itertools.product(KINDS, range(CALLERS_PER_ROUTE))
                )
                await asyncio.gather(self._end_engines(until), *callers)
        finally:
            for engine in self._incarnations:
                await engine.stop()
            for engine_id in list(self._fleet.others):
                self._remove(engine_id)

    # Engines

    async def _add(self, service):
        await self._start(f"{service}-{next(self._engine_ids)}", service)

    async def _start(self, engine_id, service, port=None):
        """Start an engine, under the id and at the port of one that has ended if they are given."""
        run_label = f"{engine_id}.{next(self._starts)}"
        draw = random.Random(f"{self._seed}/{run_label}")
        engine = EngineProcess(
            engine_id,
            service,
            run_label=run_label,
            weights={MODEL_NAME: 1} if service == MODEL else {},
            slots=SLOTS,
            events=PIECES,
            event_seconds=PIECE_S,
            event_bytes=self._filler_bytes,
            body_seconds=BODY_S,
            framing=draw.choice((*FRAMINGS, MIXED)),
            exits_after_s=draw.choice(EXITS_AFTER_S),
            born_unix_ms=now_unix_ms() if self._fleet.reports_start_times else 0,
        )
        await engine.start(port or self._unused_port())
        self._incarnations.append(engine)
        for links in self._fleet.links.values():
            await links.add(engine.address)
        self._fleet.others[engine_id] = engine
        self._fleet.deployment.record(engine)

    def _unused_port(self):
        """Return a free port that no engine had: one may start again there."""
        while (port := free_ports(1)[0]) in self._ports:
            pass
        self._ports.add(port)
        return port

    def _remove(self, engine_id):
        del self._fleet.others[engine_id]
        self._fleet.store.remove(f"servers/{engine_id}")

    async def _end_engines(self, until):
        """End engines, each at most once at a time, until a time; wait until all have ended."""
        ending = []
        while time.monotonic() < until:
            await asyncio.sleep(self._ends.uniform(*SPACING_S))
            draw = random.Random(self._ends.random())
            known = [e for e in self._fleet.others.values() if e.run_label not in self._ending]
            if known:
                engine = draw.choice(known)
                self._ending.add(engine.run_label)
                ending.append(asyncio.ensure_future(self._end(engine, draw)))
        await asyncio.gather(*ending)

    async def _end(self, engine, draw):
        way, restarts = draw.choice(WAYS), draw.random() < RESTART_SHARE
        self.ways[f"{way}, starts again" if restarts else way] += 1
        if not restarts:
            await self._add(engine.service)
        if way in (LEFT, KILLED_LEAVING):
            self._fleet.deployment.record(engine, "draining")
            await asyncio.sleep(draw.uniform(*DRAINS_S))
        # The address refuses from here on; without links the kernel sees to that.
        for links in self._fleet.links.values():
            links.engine_ended(engine.address)
        if way == LEFT:
            self._left.add(engine.run_label)
            await engine.leave()
        else:
            await engine.crash(how=RESET if way == RESET else KILLED)
        if restarts:
            await asyncio.sleep(draw.uniform(*RESTARTS_AFTER_S))
            port = int(engine.address.rpartition(":")[2])
            await self._start(engine.engine_id, engine.service, port)
        else:
            await asyncio.sleep(draw.uniform(*RECORD_REMOVED_AFTER_S))
            self._remove(engine.engine_id)

    # Callers

    async def _call_on(self, route, until):
        while time.monotonic() < until:
            reading = Reading(route, f"text-{self._seed}-{next(self._ids)}")
            self.readings.append(reading)
            await self._read(reading)
            await asyncio.sleep(self._random.uniform(0.0, 0.1))

    async def _read(self, reading):
        """Read an answer; resume it at other nodes if it is a resumable stream."""
        leaves = reading.route == RESUME and self._random.random() < LEAVES_SHARE
        is_slow = self._random.random() < SLOW_SHARE
        for number in range(MAX_ATTEMPTS):
            leave_after = self._random.randrange(1, PIECES) if leaves and not number else None
            attempt = await self._attempt(reading, leave_after, is_slow)
            self._note(attempt)
            if attempt.said_whole or reading.route != RESUME or not reading.pieces:
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _attempt(self, reading, leave_after, is_slow):
        node = self._random.choice(self._fleet.running_nodes() or self._fleet.nodes)
        attempt = Attempt(f"e{self._seed:07x}{next(self._ids):08x}", node.name, time.monotonic())
        headers = self._headers(reading, attempt)
        reading.attempts.append(attempt)
        url = f"http://{node.address('Front')}/{reading.route}/x"
        buffer_bytes = SLOW_READ_BYTES if is_slow else 2**16
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.post(
                url,
                headers=headers,
                data=reading.text.encode(),
                timeout=timeout,
                read_bufsize=buffer_bytes,
            ) as answer:
                attempt.status = answer.status
                while data := await answer.content.read(buffer_bytes):
                    attempt.data += data
                    if leave_after is not None and len(attempt.pieces) >= leave_after:
                        return attempt
                    if is_slow:
                        await asyncio.sleep(self._random.uniform(*SLOW_PAUSE_S))
                attempt.said_whole = True
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            attempt.connected = not isinstance(error, aiohttp.ClientConnectorError)
        finally:
            attempt.ended_at = time.monotonic()
        return attempt

    def _headers(self, reading, attempt):
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt.request_id,
            "X-Deadline-Ms": "4000",
            "Authorization": f"Token {self._fleet.keys[-1]}",
        }
        if KINDS[reading.route] == "streaming":
            parts = (f"{self._random.getrandbits(32):08x}" for _ in range(2))
            prefix = ",".join(f"{part}:15" for part in parts)
            headers |= {
                "X-Model": MODEL_NAME,
                "X-Token-Usage": f"30,{self._random.choice(OUTPUT_TOKENS)}",
                "X-Prompt-Prefix": prefix,
            }
        if reading.pieces:
            begun = next(attempt for attempt in reading.served if attempt.pieces)
            headers |= {"Resumes": begun.request_id, "Last-Event-Id": str(reading.pieces[-1][0])}
        return headers

    def _note(self, attempt):
        """Add a request to the soak's calls, among which those at stopping nodes are checked."""
        self._calls.append(
            Call(
                attempt.request_id,
                RESUMED,
                self._fleet.keys[-1],
                attempt.sent_at,
                attempt.status,
                b"",
                attempt.said_whole,
                attempt.node,
                waited=attempt.connected,
            )
        )

    # End of the soak

    def check(self):
        """Return what the callers' bytes show to be violated."""
        for reading in self.readings:
            yield from check_reading(reading, self._filler_bytes)

    @property
    def counts(self):
        """A summary for the log of the soak."""
        return {
            "answers": len(self.readings),
            "whole": sum(reading.said_whole for reading in self.readings),
            "resumed": sum(len(reading.served) > 1 for reading in self.readings),
            "broken off as engines left": len(self.broken_by_leaving()),
            "continued from copies": sum(
                "Kv-From" in arrival.headers
                for engine in self._incarnations
                for arrival in engine.arrivals
            ),
            "ends": dict(self.ways),
        }

    def broken_by_leaving(self):
        """Return the requests whose answers broke off though their engine had completed them.

        The answers ended with their connection, their engine left in order, and their node ran on.
        Such an answer is lost, but its caller can tell.
        """
        completed = {
            arrival.attempt_id
            for engine in self._incarnations
            if engine.run_label in self._left
            for arrival in engine.arrivals
            if arrival.finished and engine.framing_of(arrival.attempt_id) == CONNECTION
        }
        halted_between = self._fleet.timeline.halted_between
        return [
            attempt
            for reading in self.readings
            for attempt in reading.attempts
            if attempt.request_id in completed
            and not attempt.said_whole
            and attempt.connected
            and not halted_between(attempt.node, attempt.sent_at, attempt.ended_at)
        ]
