"""Restarts of all nodes amid releases of engines, and callers that resume their streams.

All nodes are killed at once, all of them twice within a second, all but one, or one after another.
Engines, in processes of their own, join, leave, crash and are replaced by those of another software
version, also while no node runs. Callers leave streams or lose them, and resume them at any node.
What they hold decides: the pieces of one version, each once and in order.
"""

import asyncio
import itertools
import json
import random
import time
from collections import Counter
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field

import aiohttp

from features.soak.answer_ends import KILLED, KILLED_LEAVING, LEFT, RESET, Attempt, Reading
from features.soak.fleet import now_unix_ms
from features.soak.history import ONE_VERSION, RESUMED, Call, Violation
from features.standin.deployment import HOST
from features.standin.engine import FRAMINGS, MIXED
from features.standin.engine_process import EngineProcess
from liftrill.bench.launcher import free_ports

SERVICE, ROUTE, MODEL_NAME = "restart-llm", "restart-resume", "model-of-restarts"
CONFIGURATION = {
    "extra_routes": [(ROUTE, f"/{ROUTE}/", "streaming", SERVICE)],
    "extra_services": [
        {
            "Name": SERVICE,
            "MaxConnections": 100,
            "Engine": {
                "KvCapacity": 100_000,
                "Models": [{"Name": MODEL_NAME}],
                "Backups": True,
            },
        },
    ],
    "resumable": ("resume", ROUTE),
}
ENGINES = 4
SLOTS = 32
PIECES, PIECE_S = 30, 0.05
# The share of seeds in which all engines have one version.
ONE_VERSION_SHARE = 0.25
# The share of seeds with the other faults of a soak; a store that is silent for seconds leaves
# little else to see.
OTHER_FAULTS_SHARE = 0.5
# Restarts begin this long after the nodes are back. Only after the longer times streams are
# resumed at nodes that have been back for a while.
RESTART_SPACING_S = ((0.3, 1.5), (3.8, 5.0))
FIRST_RESTART_AFTER_S = (1.0, 2.0)
ALL, TWICE, ALL_BUT_ONE, ONE_BY_ONE = "all", "all twice", "all but one", "one by one"
RESTARTS = (ALL, ALL, ALL, ALL, TWICE, TWICE, ALL_BUT_ONE, ONE_BY_ONE)
DOWN_S = (0.0, 0.6)
# Between the first and the second kill of all nodes, with the pause before they start.
TWICE_WITHIN_S = (0.3, 0.9)
ONE_BY_ONE_SPACING_S = (0.05, 0.4)
READY_WITHIN_S = 8.0
# How engines change while nodes are down.
NOTHING, JOIN, END, REPLACE = "nothing", "another version joins", "a version ends", "replaced"
MEANWHILE = (NOTHING, NOTHING, JOIN, END, REPLACE, REPLACE)
# Engines change at other times as well.
CHANGE_SPACING_S = (0.5, 4.0)
ONE_REPLACED = "an engine is replaced"
CHANGES = (JOIN, END, REPLACE, ONE_REPLACED, ONE_REPLACED, ONE_REPLACED)
WAYS = (KILLED, RESET)
WAYS_AT_ANY_TIME = (KILLED, RESET, LEFT, LEFT, KILLED_LEAVING)
REPLACEMENT_SPACING_S = (0.0, 0.3)
RECORD_REMOVED_AFTER_S = (0.0, 1.0)
DRAINS_S = (0.2, 1.0)
# Streams begin at this spacing, however many go on.
STREAM_SPACING_S = (0.04, 0.14)
LEAVES_SHARE = 0.6
# Callers come back at once, or after the nodes have been back for a while.
COMES_BACK_AFTER_S = ((0.0, 0.3), (0.0, 0.3), (2.5, 5.0))
DEADLINE_MS = "8000"
CALL_TIMEOUT = aiohttp.ClientTimeout(total=6.0)
RETRY_PAUSE_S = 0.2
# A caller gives up a stream after this time.
GIVES_UP_AFTER_S = 15.0
# New streams begin until the nodes have been back for this long, and may go on for a while: with
# one version until each caller has come back.
LAST_PERIOD_S = 5.0
ENDS_WITHIN_S, ALL_END_WITHIN_S = 6.0, 12.0
OUTPUT_TOKENS = (30, 1024)
# Of the resumptions that arrive so long after the nodes are back, while so many engines of their
# version serve, at least this share of the share of new streams that begin has to go on.
BACK_FOR_S = 3.0
SERVING_ENGINES = 2
GOING_ON_SHARE = 0.5
MIN_RESUMPTIONS = 12
OK, KEY_REFUSED, UNAVAILABLE = 200, 401, 503
# What a request may be answered that ran, or that no key was known for; the others are refusals.
NOT_REFUSED = (OK, KEY_REFUSED, 500, 502, 504)
IN_ORDER, COMPLETE = "pieces in order", "a stream that says it is complete is complete"
REFUSED, LIVE, ALL_GO_ON = (
    "a refused resumption has a time to come back",
    "streams go on after a restart",
    "every stream of the only version goes on",
)


@dataclass
class StreamAttempt(Attempt):
    """One request for a stream.

    Attributes:
        retry_after: the header of a refusal.
        first_piece_at: when its first piece came.
        serving: how many engines of its stream's version served when it was sent and as it ended.
    """

    resumes: bool = False
    retry_after: str = ""
    first_piece_at: float | None = None
    serving: int = 0

    @property
    def goes_on(self):
        return self.status == OK and (self.first_piece_at is not None or self.said_whole)

    @property
    def decided_at(self):
        """When it was known whether it goes on."""
        return self.first_piece_at or self.ended_at

    @property
    def was_refused(self):
        return self.status is not None and self.status not in NOT_REFUSED

    @property
    def retry_after_s(self):
        try:
            return float(self.retry_after)
        except ValueError:
            return 0.0


@dataclass
class Period:
    """A time in which all nodes were back after a restart."""

    since: float
    until: float = float("inf")

    def includes(self, attempt):
        """Return whether an attempt was made late enough in it, and decided before its end."""
        return attempt.sent_at >= self.since + BACK_FOR_S and attempt.decided_at < self.until


def check_stream(reading):
    """Return the violations that one caller's stream shows."""
    numbers = [number for number, _, _ in reading.pieces]
    versions = {label.decode() for _, label, _ in reading.pieces}
    trace = "; ".join(
        f"{a.request_id} at {a.node}, {a.sent_at:.3f} to {a.ended_at:.3f} s: status {a.status}, "
        f"{len(a.pieces)} pieces of {sorted({p[1].decode() for p in a.pieces})}, "
        f"whole {a.said_whole}"
        for a in reading.attempts
    )
    first_id = reading.attempts[0].request_id
    if len(versions) > 1:
        yield Violation(ONE_VERSION, first_id, f"{versions}; {trace}")
    if numbers != list(range(1, len(numbers) + 1)):
        yield Violation(IN_ORDER, first_id, f"{numbers}; {trace}")
    # A caller that resumes a stream drops the part of a piece at the end of the answer before.
    rest = any(attempt.rest for attempt in reading.served if attempt.said_whole)
    if reading.said_whole and (len(numbers) != PIECES or rest):
        yield Violation(COMPLETE, first_id, f"{len(numbers)} pieces; {trace}")
    for attempt in reading.attempts:
        comes_back = attempt.status == UNAVAILABLE and attempt.retry_after_s > 0
        if attempt.resumes and attempt.was_refused and not comes_back:
            detail = f"status {attempt.status}, Retry-After {attempt.retry_after!r}"
            yield Violation(REFUSED, attempt.request_id, detail)


def is_counted(attempt, periods):
    """Return whether an attempt counts: a resumption does if its version has engines."""
    may_go_on = not attempt.resumes or attempt.serving >= SERVING_ENGINES
    return may_go_on and attempt.connected and any(p.includes(attempt) for p in periods)


def going_on_shares(readings, periods):
    """Return the outcomes of new streams, and of resumptions whose version has engines."""
    counted = [a for each in readings for a in each.attempts if is_counted(a, periods)]
    begun = [a.goes_on for a in counted if not a.resumes]
    resumed = [a.goes_on for a in counted if a.resumes]
    return begun, resumed


def check_going_on(readings, periods):
    """Return a violation if fewer streams go on than new ones begin."""
    begun, resumed = going_on_shares(readings, periods)
    if len(resumed) < MIN_RESUMPTIONS or not begun:
        return
    share = sum(resumed) / len(resumed)
    if share < GOING_ON_SHARE * sum(begun) / len(begun):
        refused = (
            f"{a[0].request_id} of {r.pieces[0][1].decode()}, with its first piece at "
            f"{a[0].node} at {a[0].first_piece_at:.3f} s, lost at {a[0].ended_at:.3f} s: "
            f"{len(refusals)} refusals"
            for r in readings
            if (a := r.attempts) and r.pieces
            if (
                refusals := [
                    each
                    for each in a
                    if each.resumes and not each.goes_on and is_counted(each, periods)
                ]
            )
        )
        detail = (
            f"{sum(resumed)} of {len(resumed)}, new ones {sum(begun)} of {len(begun)}; "
            + "; ".join(refused)
        )
        yield Violation(LIVE, "", detail)


@dataclass
class _Changes:
    """What a run did, by kind."""

    restarts: Counter = field(default_factory=Counter)
    engines: Counter = field(default_factory=Counter)


class FleetRestarts:
    """Restarts a fleet's nodes, changes its engines and calls them; draws depend on the seed."""

    def __init__(self, fleet, seed, calls):
        self._fleet = fleet
        self._seed = seed
        self._calls = calls
        self._draw = random.Random(f"{seed}/restarts")
        self._changes_draw = random.Random(f"{seed}/changes of engines")
        self._random = random.Random(f"{seed}/callers of streams")
        self._has_one_version = self._draw.random() < ONE_VERSION_SHARE
        self.has_other_faults = self._draw.random() < OTHER_FAULTS_SHARE
        self._ids = itertools.count(1)
        self._engine_ids = itertools.count(1)
        self._releases = itertools.count(2)
        self._version = "v1"
        self._started = []
        self._ports = set()
        self._serving = []
        self._periods = []
        self._ending = []
        self._session = None
        self._ends_at = float("inf")
        self._done = _Changes()
        self.readings = []
        fleet.extra_configuration = CONFIGURATION

    async def run_for(self, seconds):
        """Restart nodes, change engines and call them for some time; end the engines."""
        # Callers use their connections until the node's process is gone.
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0)
        try:
            async with aiohttp.ClientSession(
                connector=connector, timeout=CALL_TIMEOUT
            ) as self._session:
                await asyncio.gather(*(self._join(self._version) for _ in range(ENGINES)))
                # On a busy machine the engines take seconds to start.
                until = time.monotonic() + seconds
                restarting = asyncio.ensure_future(self._restart_on(until))
                await asyncio.gather(
                    restarting, self._change_on(until), self._call_until(restarting)
                )
                await asyncio.gather(*self._ending)
        finally:
            for engine in self._started:
                await engine.stop()
            for engine_id in list(self._fleet.others):
                self._remove(engine_id)

    # Nodes

    async def _restart_on(self, until):
        await asyncio.sleep(self._draw.uniform(*FIRST_RESTART_AFTER_S))
        while time.monotonic() < until:
            draw = random.Random(self._draw.random())
            await self._restart(draw.choice(RESTARTS), draw)
            pause_s = draw.uniform(*draw.choice(RESTART_SPACING_S))
            is_last = time.monotonic() + pause_s >= until
            await asyncio.sleep(LAST_PERIOD_S if is_last else pause_s)
            if is_last:
                return

    async def _restart(self, kind, draw):
        """Kill nodes in one way, change the engines meanwhile, and start the nodes again."""
        meanwhile = draw.choice(MEANWHILE)
        self._fleet.timeline.note_fault(f"restart of {kind}, {meanwhile}")
        self._done.restarts[kind] += 1
        self._end_period()
        nodes = list(self._fleet.nodes)
        if kind == ALL_BUT_ONE:
            nodes.remove(draw.choice(nodes))
        change = self._change(meanwhile, WAYS, random.Random(draw.random()))
        changing = asyncio.ensure_future(change)
        if kind == ONE_BY_ONE:
            draw.shuffle(nodes)
            for node in nodes:
                await self._kill_and_start([node], 0.0)
                await asyncio.sleep(draw.uniform(*ONE_BY_ONE_SPACING_S))
        else:
            if kind == TWICE:
                await self._kill_and_start(nodes, 0.0)
                await asyncio.sleep(draw.uniform(*TWICE_WITHIN_S))
            await self._kill_and_start(nodes, draw.uniform(*DOWN_S))
        await changing
        if await self._all_ready():
            self._periods.append(Period(time.monotonic()))

    def _end_period(self):
        if self._periods:
            period = self._periods[-1]
            period.until = min(period.until, time.monotonic())

    async def _kill_and_start(self, nodes, down_s):
        with ExitStack() as impairments:
            for node in nodes:
                impairment = self._fleet.timeline.impairment(node.name, halted=True)
                impairments.enter_context(impairment)
            # Another fault may start a node again meanwhile.
            killed = [node.process for node in nodes]
            for process in killed:
                with suppress(ProcessLookupError):
                    process.kill()
            for process in killed:
                await process.wait()
            await asyncio.sleep(down_s)
            for node in nodes:
                await self._fleet.start_node(node)

    async def _all_ready(self):
        """Return whether all nodes are ready again; another fault may keep one from it."""

        async def is_ready(node):
            url = f"http://{node.address('Readiness')}/liftrill/readyz"
            try:
                async with self._session.get(url) as answer:
                    return answer.status == OK
            except (aiohttp.ClientError, OSError, TimeoutError):
                return False

        async def are_ready():
            return all(await asyncio.gather(*map(is_ready, self._fleet.nodes)))

        try:
            return await self._fleet.deployment.wait_until(are_ready, READY_WITHIN_S)
        except AssertionError:
            return False

    # Engines

    async def _change_on(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self._changes_draw.uniform(*CHANGE_SPACING_S))
            draw = random.Random(self._changes_draw.random())
            await self._change(draw.choice(CHANGES), WAYS_AT_ANY_TIME, draw)

    async def _change(self, what, ways, draw):
        """Let engines join, end, or be replaced by engines of a new version."""
        self._done.engines[what] += 1
        if what == JOIN:
            version = self._next_version()
            await asyncio.gather(*(self._join(version) for _ in range(ENGINES // 2)))
            await self._end_some(len(self._serving) - 2 * ENGINES, draw.choice(ways), draw)
        elif what == END:
            await self._end_version(draw.choice(ways), draw)
        elif what == REPLACE:
            old, version = list(self._serving), self._next_version()
            await asyncio.gather(*(self._join(version) for _ in range(ENGINES)))
            way = draw.choice(ways)
            for engine in old:
                await asyncio.sleep(draw.choice((0.0, draw.uniform(*REPLACEMENT_SPACING_S))))
                self._end_soon(engine, way, draw)
        elif what != NOTHING:
            await self._join(self._version)
            await self._end_some(1, draw.choice(ways), draw)

    def _next_version(self):
        if not self._has_one_version:
            self._version = f"v{next(self._releases)}"
        return self._version

    async def _end_version(self, way, draw):
        """End all engines of a version; others start if few are left."""
        version = draw.choice(sorted({engine.software_version for engine in self._serving}))
        ended = [e for e in self._serving if e.software_version == version]
        left = len(self._serving) - len(ended)
        if left < ENGINES // 2:
            newest = self._next_version()
            await asyncio.gather(*(self._join(newest) for _ in range(ENGINES - left)))
        for engine in ended:
            self._end_soon(engine, way, draw)

    async def _end_some(self, count, way, draw):
        for engine in draw.sample(self._serving, max(0, min(count, len(self._serving) - 2))):
            self._end_soon(engine, way, draw)

    async def _join(self, version):
        engine_id = f"{SERVICE}-{next(self._engine_ids)}"
        engine = EngineProcess(
            engine_id,
            SERVICE,
            weights={MODEL_NAME: 1},
            slots=SLOTS,
            events=PIECES,
            event_seconds=PIECE_S,
            names_version=True,
            software_version=version,
            framing=random.Random(f"{self._seed}/{engine_id}").choice((*FRAMINGS, MIXED)),
            born_unix_ms=now_unix_ms() if self._fleet.reports_start_times else 0,
        )
        self._started.append(engine)
        await self._start(engine)
        for links in self._fleet.links.values():
            await links.add(engine.address)
        self._fleet.others[engine_id] = engine
        self._fleet.deployment.record(engine)
        self._fleet.timeline.note_fault(f"{engine_id} of {version} joins")
        self._serving.append(engine)

    async def _start(self, engine):
        """Start an engine at a port that none had."""
        while True:
            with suppress(json.JSONDecodeError):
                # It ends without a word if a connection has taken its port.
                return await engine.start(self._unused_port())

    def _unused_port(self):
        while (port := free_ports(1)[0]) in self._ports:
            pass
        self._ports.add(port)
        return port

    def _end_soon(self, engine, way, draw):
        if engine in self._serving:
            self._serving.remove(engine)
            own = random.Random(draw.random())
            self._ending.append(asyncio.ensure_future(self._end(engine, way, own)))

    async def _end(self, engine, way, draw):
        what = f"{engine.engine_id} of {engine.software_version} is ended: {way}"
        self._fleet.timeline.note_fault(what)
        if way in (LEFT, KILLED_LEAVING):
            self._fleet.deployment.record(engine, "draining")
            await asyncio.sleep(draw.uniform(*DRAINS_S))
        # The address refuses from here on; without links the kernel sees to that.
        for links in self._fleet.links.values():
            links.engine_ended(engine.address)
        if way == LEFT:
            await engine.leave()
        else:
            await engine.crash(how=RESET if way == RESET else KILLED)
        await asyncio.sleep(draw.uniform(*RECORD_REMOVED_AFTER_S))
        self._remove(engine.engine_id)

    def _remove(self, engine_id):
        del self._fleet.others[engine_id]
        self._fleet.store.remove(f"servers/{engine_id}")

    def _count_serving(self, reading):
        """Return how many engines of the version that began a stream serve."""
        versions = [label.decode() for _, label, _ in reading.pieces[:1]]
        return sum(engine.software_version in versions for engine in self._serving)

    # Callers

    async def _call_until(self, restarting):
        """Begin streams until the restarts are over, and read them."""
        reading = []
        while not restarting.done():
            each = Reading(ROUTE, f"text-{self._seed}-{next(self._ids)}")
            self.readings.append(each)
            reading.append(asyncio.ensure_future(self._read(each)))
            await asyncio.sleep(self._random.uniform(*STREAM_SPACING_S))
        ends_within_s = ALL_END_WITHIN_S if self._has_one_version else ENDS_WITHIN_S
        self._ends_at = time.monotonic() + ends_within_s
        await asyncio.gather(*reading)

    async def _read(self, reading):
        """Read a stream, and resume it until it is complete."""
        give_up_at = time.monotonic() + GIVES_UP_AFTER_S
        leave_after = None
        if self._random.random() < LEAVES_SHARE:
            leave_after = self._random.randrange(1, PIECES)
        while True:
            attempt = await self._attempt(reading, leave_after)
            self._note(attempt)
            leave_after = None
            if attempt.said_whole or not reading.pieces:
                return
            pause_s = attempt.retry_after_s or RETRY_PAUSE_S
            if not attempt.resumes:
                pause_s += self._random.uniform(*self._random.choice(COMES_BACK_AFTER_S))
            if time.monotonic() + pause_s > min(give_up_at, self._ends_at):
                return
            if self._ends_at < float("inf") and not self._count_serving(reading):
                return
            await asyncio.sleep(pause_s)

    async def _attempt(self, reading, leave_after):
        node = self._random.choice(self._fleet.running_nodes() or self._fleet.nodes)
        request_id = f"d{self._seed:07x}{next(self._ids):08x}"
        attempt = StreamAttempt(request_id, node.name, time.monotonic())
        attempt.resumes = bool(reading.pieces)
        headers = self._headers(reading, attempt)
        reading.attempts.append(attempt)
        serving = self._count_serving(reading)
        url = f"http://{node.address('Front')}/{ROUTE}/x"
        try:
            async with self._session.post(
                url, headers=headers, data=reading.text.encode()
            ) as answer:
                attempt.status = answer.status
                attempt.retry_after = answer.headers.get("Retry-After", "")
                while data := await answer.content.readany():
                    if answer.status != OK:
                        continue
                    attempt.data += data
                    if attempt.first_piece_at is None and attempt.pieces:
                        attempt.first_piece_at = time.monotonic()
                        attempt.serving = min(serving, self._count_serving(reading))
                    if leave_after is not None and len(attempt.pieces) >= leave_after:
                        return attempt
                attempt.said_whole = answer.status == OK
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            attempt.connected = not isinstance(error, aiohttp.ClientConnectorError)
        finally:
            attempt.ended_at = time.monotonic()
            if attempt.first_piece_at is None:
                attempt.serving = min(serving, self._count_serving(reading))
        return attempt

    def _headers(self, reading, attempt):
        parts = (f"{self._random.getrandbits(32):08x}" for _ in range(2))
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt.request_id,
            "X-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Token {self._fleet.keys[-1]}",
            "X-Model": MODEL_NAME,
            "X-Token-Usage": f"30,{self._random.choice(OUTPUT_TOKENS)}",
            "X-Prompt-Prefix": ",".join(f"{part}:15" for part in parts),
        }
        if attempt.resumes:
            begun = next(each for each in reading.served if each.pieces)
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

    @property
    def _attempts(self):
        return [attempt for reading in self.readings for attempt in reading.attempts]

    def check(self):
        """Return what the callers' bytes show to be violated."""
        for reading in self.readings:
            yield from check_stream(reading)
        yield from check_going_on(self.readings, self._periods)
        if not self._has_one_version:
            return
        for reading in self.readings:
            if reading.pieces and not reading.said_whole:
                detail = ", ".join(f"{a.node}: {a.status}" for a in reading.attempts)
                yield Violation(ALL_GO_ON, reading.attempts[0].request_id, detail)

    @property
    def counts(self):
        """A summary for the log of the soak."""
        begun, resumed = going_on_shares(self.readings, self._periods)
        streams = [reading for reading in self.readings if reading.pieces]
        return {
            "versions": 1 if self._has_one_version else len({*self._labels(streams)}),
            "streams": len(streams),
            "complete": sum(reading.said_whole for reading in streams),
            "resumptions": sum(attempt.resumes for attempt in self._attempts),
            "gone on": sum(attempt.resumes and attempt.goes_on for attempt in self._attempts),
            "mixed": sum(len({*self._labels([reading])}) > 1 for reading in streams),
            "counted": f"{sum(resumed)} of {len(resumed)}, new {sum(begun)} of {len(begun)}",
            "statuses": dict(Counter(a.status for a in self._attempts if a.resumes)),
            "restarts": dict(self._done.restarts),
            "engines": dict(self._done.engines),
        }

    def _labels(self, readings):
        return (label for reading in readings for _, label, _ in reading.pieces)
