"""Plays scripts of answers against a node, and judges what strict callers read."""

import asyncio
import itertools
import json
import math
import re
import socket
import sys
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from features.soak.answer_scripts import (
    BEGUN_BEFORE_RECORD,
    EVENT_STREAMS,
    PIECES,
    RESUME,
    ROUTES,
)
from features.soak.fleet import now_unix_ms
from features.soak.scripted_engine import BEGAN, SCRIPT_HEADER, WRITTEN
from features.standin.deployment import prompt_headers
from features.standin.engine import StandInEngine
from features.standin.raw_callers import HTTP_1_1, RawCaller
from liftrill.bench.launcher import free_ports

MODULE = "features.soak.scripted_engine"
SERVICE, MODEL = "llm", "model-1"
CONFIGURATION = {
    "extra_routes": [(name, f"/{name}/", kind, SERVICE) for name, kind in ROUTES.items()],
    "resumable": ("resume", RESUME),
}
VERSION, OTHER_VERSION = "v1", "v2"
LOOPBACK = "127.0.0.1"
BACKLOG = 100
# Processes that are started before they are needed.
STANDBYS = 3
PIECE = re.compile(rb"id: (\d+)\ndata: ([0-9a-f]+)/(\w+)/([\d-]+) token (\d+)\n\n")
# How long an engine has to live after an answer, so that the answer has to arrive whole.
LIVES_ON_S = 0.5
SERVED_WITHIN_S = 5.0
SUCCESS = 200
# Requests to find whether the node knows the engines.
PROBES = 4
PROBE = json.dumps(
    {"framing": "chunks", "steps": [["send", 1], ["pause", 20], ["send", 0], ["last chunk", 0]]}
)
# A node has read a record this long after it was written.
READ_WITHIN_S = 0.1
LACKS_PIECES, OTHER_BYTES, VERSIONS, UNRECORDED, RUNS, NOT_WHOLE, NOT_SERVED = (
    "an answer that looks whole lacks pieces",
    "an answer has other bytes than its engine wrote",
    "a stream has pieces of two versions",
    "a stream that began before the record of its engine has pieces of two versions",
    "an answer has pieces of two runs",
    "a sound answer of an engine that runs is not whole",
    "no engine serves",
)
_numbers = itertools.count(1)


@dataclass
class EngineProcess:
    """A process of an engine, as its parent sees it.

    Attributes:
        began: when it began to run each request, by its id.
        written: when it had written an answer to its end, by the id of the request.
        recorded_at: when its record was written.
        ended_at: when it ended, or None.
    """

    process: asyncio.subprocess.Process
    control: socket.socket
    began: dict = field(default_factory=dict)
    written: dict = field(default_factory=dict)
    recorded_at: float = math.inf
    ended_at: float | None = None
    reports: asyncio.Future | None = None

    def activate(self, settings, listening):
        """Let it answer on a socket."""
        socket.send_fds(self.control, [json.dumps(settings).encode()], [listening.fileno()])
        self.reports = asyncio.ensure_future(self._read())

    async def _read(self):
        async for line in self.process.stdout:
            kind, request_id, at = json.loads(line)
            if kind == BEGAN:
                self.began.setdefault(request_id, at)
            elif kind == WRITTEN:
                self.written[request_id] = at
        self.ended_at = time.monotonic()

    async def stop(self):
        """End it, and read what it reported."""
        with suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        self.control.close()
        if self.reports is not None:
            await self.reports


class Standbys:
    """Processes that wait for their settings, so that an engine is replaced at once."""

    def __init__(self):
        self._ready = []

    async def fill(self):
        """Start as many as are kept."""
        while len(self._ready) < STANDBYS:
            ours, theirs = socket.socketpair()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                MODULE,
                str(theirs.fileno()),
                pass_fds=[theirs.fileno()],
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.DEVNULL,
            )
            theirs.close()
            self._ready.append(EngineProcess(process, ours))

    def take(self):
        """Return the oldest."""
        return self._ready.pop(0)

    async def stop(self):
        """End all."""
        for each in self._ready:
            await each.stop()


class ScriptedAddress:
    """An engine's id and address, and the processes that answer there."""

    def __init__(self, player, play, is_sound=False):
        self._player = player
        self._play = play
        self._is_sound = is_sound
        self.engine = StandInEngine(f"fuzz-{next(_numbers)}", SERVICE, weights={MODEL: 1})
        self.engine.slots = 32
        self.processes = []
        (self._port,) = free_ports(1)
        self._listening = None
        self._replacing = None

    def start(self):
        """Start the first incarnation, and record it."""
        self._listen()
        self._begin(VERSION)
        self._record()
        self._replacing = asyncio.ensure_future(self._replace())

    def _record(self):
        self._player.deployment.record(self.engine)
        self.processes[-1].recorded_at = time.monotonic()

    def _listen(self):
        self._listening = socket.socket()
        self._listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listening.bind((LOOPBACK, self._port))
        self._listening.listen(BACKLOG)
        self.engine.address = f"{LOOPBACK}:{self._port}"

    def _begin(self, version):
        engine = self.engine
        engine.software_version = version
        engine.born_unix_ms = now_unix_ms() if self._play.has_start_times else 0
        settings = {
            "engine_id": engine.engine_id,
            "software_version": version,
            "report": engine._report(),
            "pieces": PIECES,
            "is_sound": self._is_sound,
            "seen": [each for process in self.processes for each in process.began],
        }
        process = self._player.standbys.take()
        process.activate(settings, self._listening)
        self.processes.append(process)
        if not (self._play.successor and self._play.successor.keeps_port):
            self._listening.close()

    async def _replace(self):
        first, successor = self.processes[0], self._play.successor
        await asyncio.wait([asyncio.ensure_future(first.process.wait())])
        if successor is None:
            return
        await asyncio.sleep(successor.gap_ms / 1000)
        await first.reports
        if not successor.keeps_port:
            self._listen()
        self._begin(OTHER_VERSION if successor.is_other_version else VERSION)
        await asyncio.sleep(successor.recorded_after_ms / 1000)
        self._record()

    async def stop(self):
        """Remove the record and end the processes."""
        self._replacing.cancel()
        await asyncio.gather(self._replacing, return_exceptions=True)
        self._player.deployment.store.remove(f"servers/{self.engine.engine_id}")
        for process in self.processes:
            await process.stop()
        self._listening.close()


class ScriptPlayer:
    """Plays scripts of answers against the node of a deployment.

    The kinds of cases in `including` count as wrong too.
    """

    def __init__(self, deployment, including=()):
        self.deployment = deployment
        self._ignored = set() if BEGUN_BEFORE_RECORD in including else {UNRECORDED}
        self.standbys = Standbys()

    async def __aenter__(self):
        self.deployment.configure(1, **CONFIGURATION)
        self.deployment.set_weight_version(1)
        # A node is ready once it has an engine for each service.
        await self.deployment.add_engine("desk-1", "desk")
        await self.deployment.add_engine("llm-1", SERVICE, weights={MODEL: 1})
        await self.deployment.add_node("node-1")
        await self.deployment.ready(self.deployment.nodes[0])
        self.deployment.store.remove("servers/llm-1")
        return self

    async def __aexit__(self, *_):
        await self.standbys.stop()

    async def play(self, play):
        """Play one, and return what was wrong with its answers."""
        await self.standbys.fill()
        addresses = [ScriptedAddress(self, play)]
        if play.has_sibling:
            addresses.append(ScriptedAddress(self, play, is_sound=True))
        for address in addresses:
            address.start()
        try:
            refused = await self._serve(addresses)
            if refused is not None:
                return [(play.scripts[0], NOT_SERVED, refused)]
            answers = await asyncio.gather(*(self._ask(script) for script in play.scripts))
            checked_at = time.monotonic()
        finally:
            for address in addresses:
                await address.stop()
        processes = [process for address in addresses for process in address.processes]
        return [
            (script, *fault)
            for script, answer in zip(play.scripts, answers, strict=True)
            for fault in judge(script, answer, processes, checked_at)
            if fault[0] not in self._ignored
        ]

    async def _serve(self, addresses):
        """Wait until the node sends requests to an engine of the play; return what else it answers.

        It then knows, too, that the engines of the play before have gone.
        """
        seen = Counter()

        async def serve():
            calls = [self._call(RESUME, PROBE) for _ in range(PROBES)]
            seen.update(" ".join(a.head[:1]) for a in await asyncio.gather(*calls))
            return any(address.processes[0].began for address in addresses)

        try:
            await self.deployment.wait_until(serve, SERVED_WITHIN_S)
        except AssertionError:
            ended = [process.ended_at is not None for a in addresses for process in a.processes]
            return f"{dict(seen)}, processes ended: {ended}"
        return None

    async def _ask(self, script):
        await asyncio.sleep(script.starts_ms / 1000)
        return await self._call(script.route, script.text())

    async def _call(self, route, text):
        callers = RawCaller(PIECES, 0)
        callers.expect(route, PIECES)
        # A request under which engines end is refused when it comes again.
        callers.body = f"call {next(_numbers)}".encode()
        headers = {SCRIPT_HEADER: text, **prompt_headers(MODEL)}
        if route not in EVENT_STREAMS:
            del headers["X-Model"]
        node = self.deployment.nodes[0]
        return await callers.ask(node, HTTP_1_1, route, **headers)


def judge(script, answer, processes, checked_at):
    """Return what is wrong with an answer: the kind of fault, and what was read."""
    if answer.status != SUCCESS:
        body, extra, pieces = b"", b"", []
    else:
        body, extra = answer.body, answer.extra
        pieces = PIECE.findall(body)
    numbers = [int(number) for number, *_ in pieces]
    is_whole = numbers == list(range(1, PIECES + 1)) and not PIECE.sub(b"", body) and not extra
    seen = f"{answer.status}, pieces {numbers}, {answer.ending}, says whole: {answer.says_whole}"
    if answer.says_whole and not is_whole:
        yield LACKS_PIECES, seen
    if not _is_of(answer, pieces, body):
        yield OTHER_BYTES, f"{seen}: {body!r} {extra!r}"
    if len({version for _, _, version, _, _ in pieces}) > 1:
        began_unrecorded = _began_unrecorded(answer, pieces[0][3].decode(), processes)
        yield UNRECORDED if began_unrecorded else VERSIONS, f"{seen}: {body!r}"
    if script.route != RESUME and len({run for *_, run, _ in pieces}) > 1:
        yield RUNS, f"{seen}: {body!r}"
    is_due = script.is_sound and _is_due(answer, processes, checked_at)
    if is_due and not (answer.says_whole and is_whole):
        yield NOT_WHOLE, seen


def _began_unrecorded(answer, run, processes):
    """Return whether a run began at a process whose record the node may not have read."""
    (process,) = (each for each in processes if str(each.process.pid) == run.partition("-")[0])
    return process.began[answer.request_id] < process.recorded_at + READ_WITHIN_S


def _is_of(answer, pieces, body):
    """Return whether pieces of the request follow each other, and at most a part of the next."""
    own = all(
        int(number) == int(token) == at and request_id.decode() == answer.request_id
        for at, (number, request_id, _, _, token) in enumerate(pieces, start=1)
    )
    rest = PIECE.sub(b"", body)
    begins = f"id: {len(pieces) + 1}\ndata: {answer.request_id}/".encode()
    return own and body.endswith(rest) and (rest[: len(begins)] == begins[: len(rest)])


def _is_due(answer, processes, checked_at):
    """Return whether one engine wrote the answer at once, and ran on for long enough."""
    ran = [process for process in processes if answer.request_id in process.began]
    if len(ran) != 1 or answer.request_id not in ran[0].written:
        return False
    ended_at = ran[0].ended_at
    lives_until = checked_at + LIVES_ON_S if ended_at is None else ended_at
    return lives_until - ran[0].written[answer.request_id] >= LIVES_ON_S
