"""Simulates engines of two speeds and nodes that get each other's reports late."""

import heapq
import itertools
import random
from dataclasses import replace

from features.gateway_support import engine_record, opaque_request, route_rule
from liftrill.coordination.membership_messages import Member
from liftrill.gateway.delivery_ports import Unavailable
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineLoad, EngineTable
from liftrill.gateway.engines.placement import PlacementPolicy
from liftrill.gateway.opaque_request import PromptPart, PromptShape
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope, SendReport
from liftrill.gateway.peers.load_table import LoadTable
from liftrill.gateway.peers.speed_exchange import SpeedExchange
from liftrill.gateway.records import PrefixStoreProfile, ServiceProfile
from liftrill.gateway.weight_targets import WeightTargets

TOKENS_PER_S = 110_000
STEP_S = 0.00608
STEPS_PER_EVENT = 5
SLOW, FAST, SLOW_PHASE_FACTOR, SLOW_PHASE_S, SLOW_PHASE_EVERY_S = 0.55, 1.2, 2.5, 0.6, 6.0
TARGET_S, PAUSE_S, RETRY_S, GIVES_UP_AFTER_S = 0.6, 0.3, 0.03, 2.4
ZONES = 3
LATE_S = 0.25
REPORT_S = 0.2
TICK_S = 0.25
SHARED_PREFIXES, SESSIONS = 4, 200
MEAN_TOKENS = (9_190 + 826) / 2


class Engine:
    """An engine that reads prompts in pieces between the decoding steps of its streams."""

    def __init__(self, name, speed, slow_phases, piece):
        self.name, self.speed, self.slow_phases, self.piece = name, speed, slow_phases, piece
        self.queue, self.streams = [], []
        self.read_tokens = 0
        self.busy = False

    def speed_at(self, now):
        slow = any(start <= now < start + SLOW_PHASE_S for start in self.slow_phases)
        return self.speed / (SLOW_PHASE_FACTOR if slow else 1.0)

    def step(self, now):
        """Return the time that a step takes, and the runs whose prompt is read by its end."""
        left, read = self.piece, []
        while left and self.queue:
            run = self.queue[0]
            taken = min(left, run.left_tokens)
            run.left_tokens -= taken
            left -= taken
            if not run.left_tokens:
                read.append(self.queue.pop(0))
        tokens = self.piece - left
        self.read_tokens += tokens
        return (STEP_S + tokens / TOKENS_PER_S) / self.speed_at(now), read


class Run:
    """A request, from its arrival to its last event."""

    def __init__(self, request, node, now, events):
        self.request, self.node, self.arrived_at = request, node, now
        self.events_left, self.steps = events, 0
        self.first_at = None
        self.longest_pause_s = 0.0
        self.events = 0


class UniformSpeeds:
    """Speeds of a node that takes all engines for equally fast and predicts no pauses."""

    def __init__(self, speeds):
        self._speeds = speeds

    def prefill_s_per_token(self, view):
        return 1.0 / 40_000

    def service_prefill_s_per_token(self, service):
        return 1.0 / 40_000

    def predicts_pauses(self, service):
        return False

    def __getattr__(self, name):
        return getattr(self._speeds, name)


class ShortestQueue(PlacementPolicy):
    """Chooses the engine with the fewest waiting tokens."""

    def choose(self, request, candidates, zone):
        return min(candidates, key=lambda c: (c.view.waiting_tokens, c.view.requests))


class Node:
    def __init__(self, number, simulation):
        self.zone = f"zone-{number % ZONES}"
        self.name = f"node-{number}"
        self.table = EngineTable()
        for engine in simulation.engines:
            self.table.update(engine_record(engine.name, weights={"model": 1}, slots=32))
        policy = ShortestQueue() if simulation.mode == "queue" else None
        self.selector = EngineSelector(self.table, WeightTargets(8.0), self.zone, policy)
        self.selector.parts.prefix_stores = (PrefixStoreProfile("10.0.0.9:1", "zone-0"),)
        self.selector.parts.services["service-1"] = ServiceProfile("service-1", 0)
        self.selector.parts.nodes = simulation.nodes_count
        self.loads = LoadTable(self.table)
        self.speeds = self.selector.speeds
        self.exchange = SpeedExchange(self.speeds, self.zone)
        self.member = Member(self.name, "", "", self.zone, 1)
        if simulation.mode != "one speed":
            self.speeds.pause_targets_s["service-1"] = PAUSE_S
        else:
            self.use_one_speed()
        if simulation.mode == "oracle":
            self.use_true_speeds(simulation)

    def use_one_speed(self):
        """Use the same speed for all engines."""
        self.selector._prompt_policy.speeds = UniformSpeeds(self.speeds)

    def use_true_speeds(self, simulation):
        """Give the node the true speeds of all engines."""
        self.true_engines = {engine.name: engine for engine in simulation.engines}
        service = self.speeds._service("service-1")
        service.has_prefill_estimate = True

    def refresh(self, mode, now):
        self.speeds.refresh(now)
        service = self.speeds._service("service-1")
        for view in self.table:
            if mode == "one speed":
                view.speed.prefill_s_per_token, view.speed.slowness = (
                    service.prefill_s_per_token,
                    1.0,
                )
                view.speed.home_weight = 1.0
            elif mode == "oracle":
                service.prefill_s_per_token = 1.0 / (TOKENS_PER_S * FAST)
                engine = self.true_engines[view.engine_id]
                view.speed.slowness = FAST / engine.speed_at(now)
                view.speed.home_weight = engine.speed / FAST
                view.speed.prefill_s_per_token = service.prefill_s_per_token * view.speed.slowness


class Simulation:
    """Simulates requests, nodes and engines; `mode` names the source of the nodes' speeds."""

    def __init__(self, mode, load, seconds, nodes=24, engines=30, piece=4_096, seed=5, uneven=True):
        self.random = random.Random(seed)
        self.mode, self.nodes_count, self.seconds = mode, nodes, seconds
        self.engines = [self.new_engine(n, seconds, piece, uneven) for n in range(engines)]
        self.by_name = {engine.name: engine for engine in self.engines}
        self.nodes = [Node(number, self) for number in range(nodes)]
        self.queue, self.order = [], itertools.count()
        self.runs, self.refused, self.reread_tokens = [], 0, 0
        capacity = sum(engine.speed for engine in self.engines) * TOKENS_PER_S
        self.rate = load * capacity / MEAN_TOKENS
        self.seen_parts = set()

    def new_engine(self, number, seconds, piece, uneven):
        speed = (SLOW if number % 4 == 0 else FAST) if uneven else 1.0
        slow_phases, at = [], 0.0
        while uneven and at < seconds:
            at += self.random.expovariate(1.0 / SLOW_PHASE_EVERY_S)
            slow_phases.append(at)
            at += SLOW_PHASE_S
        return Engine(f"e{number}", speed, slow_phases, piece)

    def at(self, time, action, *arguments):
        heapq.heappush(self.queue, (time, next(self.order), action, arguments))

    def run(self):
        now = 0.0
        for number in itertools.count():
            now += self.random.expovariate(self.rate)
            if now >= self.seconds:
                break
            self.at(now, self.arrive, number, now)
        for tick in range(int(self.seconds / REPORT_S)):
            self.at(tick * REPORT_S, self.report)
        for tick in range(int(self.seconds / TICK_S)):
            self.at(tick * TICK_S, self.refresh)
        while self.queue:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        return self

    def refresh(self):
        for node in self.nodes:
            node.refresh(self.mode, self.now)

    def report(self):
        """Send the loads, prefix entries and speeds of each node to the others, LATE_S later."""
        for node in self.nodes:
            loads = {name: replace(load) for name, load in node.loads.own_loads().items()}
            kept = node.selector.parts.directory.updates(self.now).own
            self.at(self.now + LATE_S, self.receive_loads, node, loads, kept)
            if self.mode in ("merged",):
                self.report_speeds(node)

    def report_speeds(self, node):
        local = [n.member for n in self.nodes if n.zone == node.zone and n is not node]
        reports = [SendReport(LoadReport(LoadScope.NODE, node.name, node.zone, {}), tuple(local))]
        if self.nodes.index(node) < ZONES:
            others = tuple(n.member for n in self.nodes if n.zone != node.zone)
            total = LoadReport(LoadScope.ZONE_SUM, node.name, node.zone, {})
            reports.append(SendReport(total, others))
        by_name = {n.name: n for n in self.nodes}
        for send in node.exchange.due_reports(reports, self.now):
            for member in send.members:
                receiver = by_name[member.node_id]
                self.at(self.now + LATE_S, self.receive_speeds, receiver, send.report)

    def receive_speeds(self, node, report):
        node.exchange.apply_report(report, self.now)

    def receive_loads(self, source, loads, kept):
        for node in self.nodes:
            if node is not source:
                node.loads.update(source.name, loads, self.now)
                if kept:
                    node.selector.parts.directory.apply_updates(kept, self.now, of_own_zone=True)

    def arrive(self, number, now):
        node = self.random.choice(self.nodes)
        route = replace(route_rule(), target_seconds=TARGET_S, pause_target_s=PAUSE_S)
        request = opaque_request(route, received_at=now, request_id=f"r{number}")
        if number % 2:
            session = int(SESSIONS * self.random.random() ** 2)
            parts = (
                PromptPart(f"beginning-{session % SHARED_PREFIXES}", 2_500),
                PromptPart(f"session-{session}", 3_800),
                PromptPart(f"own-{number}", 2_890),
            )
            prompt, events = PromptShape("model", parts, 9_190, 35), 7
        else:
            parts = (PromptPart("short", 198), PromptPart(f"own-{number}", 628))
            prompt, events = PromptShape("model", parts, 826, 180), 36
        self.ask(Run(replace(request, prompt=prompt), node, now, events))

    def ask(self, run):
        choice = run.node.selector.choose(run.request, frozenset(), self.now)
        if isinstance(choice, Unavailable):
            if self.now < run.arrived_at + GIVES_UP_AFTER_S:
                self.at(self.now + RETRY_S, self.ask, run)
            else:
                self.refused += 1
            return
        run.choice, run.sent_at = choice, self.now
        run.view = run.node.table.get(choice.engine_id)
        tokens = max(1, choice.expected_prefill_tokens)
        run.load = EngineLoad(1, tokens, 0)
        run.view.own_load.add(run.load)
        run.tokens_ahead = run.view.waiting_tokens
        run.left_tokens = tokens
        self.count_reread(run)
        run.node.selector.parts.record_sent(choice, run.request, self.now)
        engine = self.by_name[choice.engine_id]
        engine.queue.append(run)
        self.runs.append(run)
        if not engine.busy:
            self.step(engine)

    def count_reread(self, run):
        """Count the tokens of shared parts that some engine had read before."""
        kept = run.request.prompt.prompt_tokens - run.choice.expected_prefill_tokens
        for part in run.request.prompt.shared_parts:
            kept -= part.tokens
            if kept < 0 and part.part_id in self.seen_parts:
                self.reread_tokens += part.tokens
            self.seen_parts.add(part.part_id)

    def step(self, engine):
        if not engine.queue and not engine.streams:
            engine.busy = False
            return
        engine.busy = True
        duration_s, read = engine.step(self.now)
        self.at(self.now + duration_s, self.step_done, engine, read)

    def step_done(self, engine, read):
        for run in engine.streams:
            run.steps += 1
            if run.steps % STEPS_PER_EVENT == 0:
                self.event(run)
        for run in [run for run in engine.streams if run.events == run.events_left]:
            engine.streams.remove(run)
            self.end(run)
        for run in read:
            self.read(run)
            engine.streams.append(run)
        self.step(engine)

    def read(self, run):
        run.first_at = run.last_at = self.now
        run.view.own_load.waiting_tokens -= run.load.waiting_tokens
        run.load.waiting_tokens = 0
        run.node.selector.parts.record_prefill(run.choice, run.request, self.now)
        elapsed_s = self.now - run.sent_at
        run.node.speeds.record_prefill(run.view.engine_id, run.tokens_ahead, elapsed_s, self.now)

    def event(self, run):
        run.longest_pause_s = max(run.longest_pause_s, self.now - run.last_at)
        run.last_at = self.now
        run.events += 1

    def end(self, run):
        run.view.own_load.add(run.load, -1)
        elapsed_s = run.last_at - run.first_at
        run.node.speeds.record_stream(
            run.view, run.events, elapsed_s, run.longest_pause_s, self.now
        )

    # Results

    def first_events(self, since=2.0):
        return sorted(r.first_at - r.arrived_at for r in self.runs if r.arrived_at >= since)

    def quantile(self, share):
        times = self.first_events()
        return times[int(share * (len(times) - 1))]

    def paused_share(self, since=2.0):
        runs = [run for run in self.runs if run.arrived_at >= since]
        return sum(run.longest_pause_s > PAUSE_S for run in runs) / len(runs)

    def late_share(self, since=2.0):
        runs = [run for run in self.runs if run.arrived_at >= since]
        late = (r.longest_pause_s > PAUSE_S or r.first_at - r.arrived_at > TARGET_S for r in runs)
        return sum(late) / len(runs)

    def slow_work(self):
        """Return the share of work of the slow engines, and their share of the total speed."""
        slow = [engine for engine in self.engines if engine.speed == SLOW]
        work = sum(e.read_tokens for e in slow) / sum(e.read_tokens for e in self.engines)
        return work, sum(e.speed for e in slow) / sum(e.speed for e in self.engines)

    def figures(self):
        work, fair = self.slow_work()
        return (
            f"{self.mode:10s} p50 {1e3 * self.quantile(0.5):5.0f}"
            f" p99 {1e3 * self.quantile(0.99):6.0f} ms"
            f" paused {self.paused_share():.3f} late {self.late_share():.3f}"
            f" slow work {work:.3f} of fair {fair:.3f} again {self.reread_tokens:8d}"
            f" refused {self.refused} of {len(self.runs) + self.refused}"
        )
