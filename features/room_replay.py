"""Simulates callers, nodes and engines in virtual time, with the real forwarder."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, replace
from functools import partial

from features.gateway_support import engine_record, new_quarantine, opaque_request, route_rule
from liftrill import clock
from liftrill.gateway import delivery_events as events
from liftrill.gateway.admission.retry_allowance import RetryAllowance
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineLoad, EngineTable
from liftrill.gateway.event_stream import StreamEvent
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import PromptPart, PromptShape
from liftrill.gateway.records import ServiceProfile
from liftrill.gateway.transport import EngineAttempt, EngineTransport, ProbeResult, ResponseSink
from liftrill.gateway.weight_targets import WeightTargets

SERVICE = "service-1"
READ_TOKENS_PER_S = 100_000.0
SLOTS = 24
MAX_QUEUED = 32
MEMORY_TOKENS = 90_000
STREAM_S = 0.4
REPORT_S = 0.1
# Nodes exchange speeds with every tenth report of loads.
SPEED_REPORTS = 10
LONG_TOKENS, SHORT_TOKENS = 9_200, 800
# One in four prompts is short, and urgent.
URGENT_EVERY = 4
MEAN_TOKENS = (LONG_TOKENS * (URGENT_EVERY - 1) + SHORT_TOKENS) / URGENT_EVERY


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer when nothing is ready."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        select = self._selector.select
        self._selector.select = lambda timeout: self._advance(timeout, select)

    def time(self):
        return self.now

    def _advance(self, timeout, select):
        if timeout is None:
            raise RuntimeError("virtual time deadlock: no timer and no ready callback")
        self.now += timeout
        return select(0)


def run_virtual(main):
    """Run a coroutine in virtual time, to which the product's clock is set as well."""
    loop, real_clock = VirtualLoop(), clock.now_s
    clock.now_s = loop.time
    try:
        return loop.run_until_complete(main)
    finally:
        clock.now_s = real_clock
        loop.close()


class Engine:
    """An engine that reads one prompt at a time, urgent first; streams hold slots and memory."""

    def __init__(self):
        self.queue, self.running, self.preempted = [], [], 0
        self.arrived = asyncio.Event()
        self.task = asyncio.ensure_future(self.work())

    def memory(self):
        return sum(attempt.tokens for attempt in self.running)

    async def work(self):
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            while (attempt := self.next()) is not None:
                self.queue.remove(attempt)
                self.running.append(attempt)
                await asyncio.sleep(attempt.tokens / READ_TOKENS_PER_S)
                if attempt in self.running:
                    attempt.start()

    def next(self):
        if not self.queue or len(self.running) >= SLOTS:
            return None
        first = min(self.queue, key=lambda a: (a.priority, a.number))
        while self.memory() + first.tokens > MEMORY_TOKENS:
            victim = max(self.running, key=lambda a: (a.priority, a.number), default=None)
            if victim is None or victim.priority <= first.priority:
                return None
            self.preempted += 1
            self.running.remove(victim)
            self.queue.append(victim)
        return first

    def release(self, attempt):
        for held in (self.queue, self.running):
            if attempt in held:
                held.remove(attempt)
        self.arrived.set()


class Attempt(EngineAttempt):
    numbers = itertools.count()

    def __init__(self, engine, request):
        self.engine, self.number = engine, next(self.numbers)
        self.tokens = request.prompt.prompt_tokens + request.prompt.output_tokens
        self.priority = request.priority
        self.events = asyncio.Queue()
        self.started = False

    async def open(self):
        if len(self.engine.queue) >= MAX_QUEUED:
            return [events.AttemptRefused(events.RefusalKind.OVERLOADED)]
        self.engine.queue.append(self)
        self.engine.arrived.set()
        return [events.StreamOpened(200, ())]

    async def read(self):
        return [await self.events.get()]

    def start(self):
        if not self.started:
            self.events.put_nowait(events.EventReceived(StreamEvent(1, b"id: 1\ndata: a\n\n")))
        self.started = True
        asyncio.get_running_loop().call_later(STREAM_S, self.end)

    def end(self):
        if self in self.engine.running:
            self.engine.release(self)
            self.events.put_nowait(events.StreamCompleted())

    def close(self):
        self.engine.release(self)


class Transport(EngineTransport):
    def __init__(self, engines):
        self.engines = engines

    def attempt(self, request, start):
        return Attempt(self.engines[start.choice.engine_id], request)

    async def probe(self, address, timeout_s):
        return ProbeResult.ACCEPTED


class CallerSink(ResponseSink):
    """Records the time of the first event and the outcome of the request."""

    first_at = refusal = None
    complete = False

    async def send_response(self, answer):
        pass

    async def send_head(self, head):
        pass

    async def send_bytes(self, data):
        self.first_at = clock.now_s()

    async def finish(self):
        self.complete = True

    def abort_stream(self):
        pass

    async def refuse(self, refusal):
        self.refusal = refusal

    async def fail(self, failure):
        pass


class Node:
    def __init__(self, engines):
        self.table = EngineTable()
        for name in engines:
            self.table.update(engine_record(name, weights={"model": 1}, slots=SLOTS))
        self.selector = EngineSelector(self.table, WeightTargets(8.0, 8.0), "zone-1")
        profile = ServiceProfile(SERVICE, 0, cache_tokens=MEMORY_TOKENS)
        self.selector.parts.services[SERVICE] = profile
        allowance = RetryAllowance(0.2, 100, 10.0, 0.0)
        ports = ForwardingPorts(self.selector, allowance)
        quarantine = new_quarantine(self.table)
        log, metrics = DecisionLog("node"), GatewayMetrics()
        transport = Transport(engines)
        args = (self.table, ports, allowance, transport, log, metrics, quarantine)
        self.forwarder = Forwarder(*args)


@dataclass
class Call:
    """A caller's request and the time of its first event."""

    at: float
    tokens: int
    priority: int
    tenant: str
    first_at: float | None = None
    sends: int = 0

    def in_time(self, target_s):
        return self.first_at is not None and self.first_at - self.at <= target_s


class Simulation:
    """Simulates callers at nodes that report their loads to each other.

    Callers of the tenant "abusive" retry at once, up to 20 sends; others retry once, when told.
    """

    def __init__(self, nodes=3, engines=4, target_s=0.4, seed=7):
        self.counts, self.target_s = (nodes, engines), target_s
        self.random = random.Random(seed)
        self.calls = []

    def capacity_per_s(self):
        return self.counts[1] * READ_TOKENS_PER_S / MEAN_TOKENS

    def add_calls(self, since, until, load, tenant=None):
        """Add calls at a multiple of the read capacity, of 8 tenants or of the given one."""
        at = since
        while (at := at + self.random.expovariate(load * self.capacity_per_s())) < until:
            urgent = self.random.randrange(URGENT_EVERY) == 0
            tokens, priority = (SHORT_TOKENS, 0) if urgent else (LONG_TOKENS, 1)
            name = tenant or f"tenant-{self.random.randrange(8)}"
            self.calls.append(Call(at, tokens, priority, name))

    def run(self):
        random.seed(3)
        run_virtual(self._run())

    async def _run(self):
        self.engines = {f"e{number}": Engine() for number in range(self.counts[1])}
        self.nodes = [Node(self.engines) for _ in range(self.counts[0])]
        for node in self.nodes:
            node.forwarder.prefill_started = partial(self._report_waiting_tokens, node)
        reports = asyncio.ensure_future(self._report())
        await asyncio.gather(*(self._call(n, call) for n, call in enumerate(self.calls)))
        for task in (reports, *(engine.task for engine in self.engines.values())):
            task.cancel()

    def _report_waiting_tokens(self, sender, view, tokens):
        for node in self.nodes:
            if node is not sender:
                node.table.get(view.engine_id).peer_load.waiting_tokens += tokens

    def _exchange_speeds(self):
        """Exchange the engine speeds between all nodes and recompute them, like real nodes."""
        now = clock.now_s()
        for name, node in enumerate(self.nodes):
            rows = node.selector.speeds.own_rows(now)
            node.selector.speeds.reset_longest_pauses()
            for other in self.nodes:
                if other is not node:
                    other.selector.speeds.apply_report(str(name), "zone-1", rows, now)
        for node in self.nodes:
            node.selector.speeds.refresh(now)

    async def _report(self):
        for number in itertools.count(1):
            await asyncio.sleep(REPORT_S)
            if number % SPEED_REPORTS == 0:
                self._exchange_speeds()
            for name in self.engines:
                views = [node.table.get(name) for node in self.nodes]
                total = EngineLoad()
                for view in views:
                    total.add(view.own_load)
                for view in views:
                    view.peer_load = replace(total)
                    view.peer_load.add(view.own_load, -1)

    async def _call(self, number, call):
        await asyncio.sleep(call.at)
        abusive = call.tenant == "abusive"
        gives_up_at = call.at + 10 * self.target_s
        for _ in range(20 if abusive else 2):
            sink = CallerSink()
            call.sends += 1
            node = self.nodes[self.random.randrange(len(self.nodes))]
            request = self._request(number, call, gives_up_at)
            try:
                async with asyncio.timeout(4 * self.target_s):
                    await node.forwarder.deliver(request, sink)
            except TimeoutError:
                return
            if sink.refusal is None:
                call.first_at = sink.first_at if sink.complete else None
                return
            left_s = gives_up_at - clock.now_s()
            wait_s = min(sink.refusal.retry_after_seconds, left_s / 3)
            await asyncio.sleep(0.02 if abusive else wait_s)

    def _request(self, number, call, gives_up_at):
        route = replace(route_rule(), target_seconds=self.target_s)
        now, body = clock.now_s(), b"%d" % number
        request = opaque_request(route, deadline=gives_up_at, received_at=now, tenant=call.tenant)
        prompt = PromptShape("model", (PromptPart(f"own-{number}", call.tokens),), call.tokens, 20)
        return replace(request, body=body, prompt=prompt, priority=call.priority)

    # Results

    def in_time(self, since=0.0, until=1e9, **attributes):
        """Return the share of calls in a time, with these attributes, that was answered in time."""
        calls = [
            call
            for call in self.calls
            if since <= call.at < until
            and all(getattr(call, k) == v for k, v in attributes.items())
        ]
        return sum(call.in_time(self.target_s) for call in calls) / len(calls)

    def goodput(self, since, until):
        """Return the tokens answered in time as a share of what the engines could read."""
        good = sum(
            c.tokens for c in self.calls if since <= c.at < until and c.in_time(self.target_s)
        )
        return good / ((until - since) * self.counts[1] * READ_TOKENS_PER_S)

    def served(self, **attributes):
        """Return the share of calls with these attributes that was answered at all."""
        calls = [c for c in self.calls if all(getattr(c, k) == v for k, v in attributes.items())]
        return sum(call.first_at is not None for call in calls) / len(calls)

    def summary(self):
        outcome = Counter(
            "never" if c.first_at is None else "in time" if c.in_time(self.target_s) else "late"
            for c in self.calls
        )
        outcome["preempted"] = sum(engine.preempted for engine in self.engines.values())
        outcome["sends"] = sum(call.sends for call in self.calls)
        return dict(outcome)
