"""Runs hollow nodes in virtual time and measures what coordination costs each."""

import random
from collections.abc import Iterable
from dataclasses import asdict, dataclass, replace

import psutil

from liftrill.bench.scale.hollow_node import HollowEngine, HollowNode
from liftrill.bench.scale.network import Location, Network
from liftrill.bench.simulation.clock import VirtualClock
from liftrill.bench.summary import percentiles
from liftrill.coordination.configuration import Head, content_digest
from liftrill.messages import configuration_pb2 as messages
from liftrill.node.gossip import membership_parameters
from liftrill.planning.sections import api_key_digest, encode_tenants
from liftrill.routing.engine_state import EngineIdentity, EngineListing

REGIONS = 6
ZONES = 22
SETTLE_SECONDS = 40.0
MEASURE_SECONDS = 120.0
CHANGE_INTERVAL_SECONDS = 9.6
CUT_SECONDS = 30.0
SEEDS = 6
TENANTS = 1_200


@dataclass(frozen=True, slots=True)
class ScaleResult:
    """Costs per node (medians over nodes) and delays in seconds.

    Attributes:
        processor_share: of a core, as a fraction, on this machine.
        memory_megabytes_per_node: growth of this process by node.
        in_force_p50: from a confirmation to a node's adoption, over nodes and changes.
        in_force_last: from a confirmation to the last node, the worst change.
        in_force_after_cut: from the healing of a region's cut to its last node.
        leaving_last: from an engine's mark to the last node that knows.
        death_last: from a node's death to the last node that knows.
        false_suspicions_per_hour: per node, at the loss given, with nobody dead.
    """

    nodes: int
    engines: int
    seed: int
    loss_share: float
    bytes_per_second: float
    gossip_bytes_per_second: float
    configuration_bytes_per_second: float
    report_bytes_per_second: float
    processor_share: float
    memory_megabytes_per_node: float
    changes: int
    in_force_p50: float
    in_force_p99: float
    in_force_last: float
    in_force_after_cut: float
    leaving_last: float
    death_last: float
    unaware_of_death: int
    false_suspicions_per_hour: float
    false_deaths: int


class ScaleRun:
    """One run."""

    def __init__(self, nodes: int, engines: int, seed: int, loss_share: float) -> None:
        self._seed = seed
        self._random = random.Random(seed)
        self._clock = VirtualClock()
        self._network = Network(self._clock, self._random, loss_share=loss_share)
        self._engines = self._make_engines(engines)
        memory_before = psutil.Process().memory_info().rss
        self._nodes = self._make_nodes(nodes)
        self._tenants = _tenants(TENANTS)
        self._generation = 0
        self._confirmed_at: dict[int, float] = {}
        self._cut_generations: set[int] = set()
        self._start()
        self._clock.run(SETTLE_SECONDS)
        memory = psutil.Process().memory_info().rss - memory_before
        self._memory_per_node = memory / 1e6 / nodes

    def run(self) -> ScaleResult:
        """Measure quiet costs, then changes, a cut, a leaving engine and a death."""
        suspicions_before = sum(node.detections.suspicions for node in self._nodes.values())
        traffic = self._measure_traffic()
        suspicions = sum(n.detections.suspicions for n in self._nodes.values()) - suspicions_before
        false_deaths = sum(len(node.detections.dead_at) for node in self._nodes.values())
        after_cut = self._measure_cut()
        leaving = self._measure_leaving()
        death, unaware = self._measure_death()
        delays = self._in_force_delays()
        figures = percentiles([delay for row in delays for delay in row])
        return ScaleResult(
            nodes=len(self._nodes),
            engines=len(self._engines),
            seed=self._seed,
            loss_share=self._network.loss_share,
            **traffic,
            memory_megabytes_per_node=self._memory_per_node,
            changes=len(delays),
            in_force_p50=figures[50.0] / 1000,
            in_force_p99=figures[99.0] / 1000,
            in_force_last=max(max(row) for row in delays),
            in_force_after_cut=after_cut,
            leaving_last=leaving,
            death_last=death,
            unaware_of_death=unaware,
            false_suspicions_per_hour=suspicions
            / len(self._nodes)
            / len(self._nodes)
            * 3600
            / MEASURE_SECONDS,
            false_deaths=false_deaths,
        )

    # Making

    def _make_engines(self, count: int) -> dict[str, HollowEngine]:
        engines: dict[str, HollowEngine] = {}
        for number in range(count):
            engine_id = f"region-{number % REGIONS}/engine-{number}"
            engines[engine_id] = HollowEngine(engine_id, EngineIdentity(1, 0, "2026-11", False))
        return engines

    def _make_nodes(self, count: int) -> dict[str, HollowNode]:
        parameters = membership_parameters()
        ids = [f"node-{number}" for number in range(count)]
        seeds = ids[:SEEDS]
        return {
            node_id: HollowNode(
                self._clock,
                self._network,
                node_id,
                Location(f"region-{number % REGIONS}", f"zone-{number % ZONES}"),
                seeds,
                self._engines,
                parameters,
                seed=self._seed * 10_000 + number,
            )
            for number, node_id in enumerate(ids)
        }

    def _start(self) -> None:
        listings = [
            EngineListing(e, f"10.0.0.1:{8000 + n}", "zone", f"pool-{n % 9}", False, 1)
            for n, e in enumerate(self._engines)
        ]
        everyone = [node.membership.own for node in self._nodes.values()]
        for node in self._nodes.values():
            node.records.offer_listings(listings, spread=False)
            node.membership.merge(everyone, 0.0)
            node.start(self._nodes)
        self._confirm()

    # Measuring

    def _confirm(self) -> None:
        """Change one tenant and confirm it on some node."""
        self._generation += 1
        tenant = self._random.choice(self._tenants)
        tenant.weight = float(self._generation)
        sections = encode_tenants(self._tenants)
        digests = {name: content_digest(content) for name, content in sections.items()}
        head = Head(self._generation, digests)
        self._confirmed_at[self._generation] = self._clock.now()
        confirming = self._random.choice([n for n in self._nodes.values() if n.alive])
        confirming.commit(head, {digests[name]: content for name, content in sections.items()})

    def _measure_traffic(self) -> dict[str, float]:
        for node in self._nodes.values():
            node.traffic = replace(node.traffic, gossip=0, configuration=0, reports=0)
            node.processor_seconds = 0.0
        began_at = self._clock.now()
        while self._clock.now() - began_at < MEASURE_SECONDS:
            self._confirm()
            self._clock.run(self._clock.now() + CHANGE_INTERVAL_SECONDS)
        seconds = self._clock.now() - began_at
        rows = [node.traffic for node in self._nodes.values()]
        return {
            "bytes_per_second": _median(r.total for r in rows) / seconds,
            "gossip_bytes_per_second": _median(r.gossip for r in rows) / seconds,
            "configuration_bytes_per_second": _median(r.configuration for r in rows) / seconds,
            "report_bytes_per_second": _median(r.reports for r in rows) / seconds,
            "processor_share": _median(n.processor_seconds for n in self._nodes.values()) / seconds,
        }

    def _in_force_delays(self) -> list[list[float]]:
        """Return the delays of each change, but the first and that of the cut."""
        measured = [g for g in self._confirmed_at if g > 1 and g not in self._cut_generations]
        return [
            [
                node.detections.generation_at[g] - self._confirmed_at[g]
                for node in self._nodes.values()
                if g in node.detections.generation_at
            ]
            for g in measured
        ]

    def _measure_cut(self) -> float:
        """Cut a region off, change the configuration, heal, and wait for the region."""
        region = f"region-{REGIONS - 1}"
        self._network.partitioned_regions.add(region)
        self._clock.run(self._clock.now() + CUT_SECONDS / 2)
        before = self._generation
        self._confirm()
        self._cut_generations = {self._generation}
        self._clock.run(self._clock.now() + CUT_SECONDS / 2)
        self._network.partitioned_regions.clear()
        healed_at = self._clock.now()
        self._clock.run(healed_at + 60.0)
        late = [
            node.detections.generation_at.get(before + 1, float("inf"))
            for node in self._nodes.values()
        ]
        return max(max(late) - healed_at, 0.0)

    def _measure_leaving(self) -> float:
        engine = self._random.choice(list(self._engines.values()))
        engine.identity = replace(engine.identity, revision=1, leaving=True)
        marked_at = self._clock.now()
        for node in self._nodes.values():
            node.receive_engine_change(engine)
        self._clock.run(marked_at + 30.0)
        known = [
            node.detections.leaving_at.get(engine.engine_id, float("inf"))
            for node in self._nodes.values()
        ]
        return max(known) - marked_at

    def _measure_death(self) -> tuple[float, int]:
        victim = self._random.choice(list(self._nodes.values()))
        for node in self._nodes.values():
            node.detections.dead_at.pop(victim.node_id, None)
        victim.kill()
        died_at = self._clock.now()
        self._clock.run(died_at + 60.0)
        others = [node for node in self._nodes.values() if node is not victim]
        known = [
            node.detections.dead_at[victim.node_id]
            for node in others
            if victim.node_id in node.detections.dead_at
        ]
        return max(known, default=float("inf")) - died_at, len(others) - len(known)


def run_scale(nodes: int, engines: int, seed: int, loss_share: float) -> ScaleResult:
    """Run hollow nodes and return what they cost."""
    return ScaleRun(nodes, engines, seed, loss_share).run()


def format_scale(result: ScaleResult) -> str:
    """Return the figures for people."""
    return "\n".join(f"{key:32} {value}" for key, value in asdict(result).items())


def _tenants(count: int) -> list[messages.Tenant]:
    return [
        messages.Tenant(
            name=f"tenant-{number}",
            api_key_digests=[api_key_digest(f"key-{number}")],
            weight=1.0,
            requests_per_second=10.0,
            request_burst=20.0,
            prompt_tokens_per_second=10_000.0,
            prompt_token_burst=50_000.0,
        )
        for number in range(count)
    ]


def _median(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return float(ordered[len(ordered) // 2])
