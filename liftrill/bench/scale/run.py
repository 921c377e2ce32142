"""Runs hollow nodes in virtual time and measures the cost of coordination for each node."""

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
PARTITION_SECONDS = 30.0
SEED_NODES = 6
TENANTS = 1_200


@dataclass(frozen=True, slots=True)
class ScaleResult:
    """Costs per node, as medians over the nodes, and delays in seconds.

    Attributes:
        processor_share: processor cores that a node uses on this machine, as a fraction.
        memory_megabytes_per_node: memory growth of this process, divided by the nodes.
        changes: number of configuration changes in the percentiles.
        in_force_p50: median time from a confirmation to its adoption by a node.
        in_force_p99: 99th percentile of the same time.
        in_force_last: longest time from a confirmation to its adoption by the last node.
        in_force_after_cut: time from the end of the partition of a region until the last
            node adopted the configuration confirmed during the partition.
        leaving_last: time from the leaving mark of an engine until the last node knew it.
        death_last: time from the crash of a node until the last of the nodes that detected
            it; see `unaware_of_death` for the others.
        unaware_of_death: number of nodes that did not detect the crash.
        false_suspicions_per_hour: mean number of suspicions per hour between one node and one
            other, at the given loss and while all nodes are alive.
        false_deaths: number of times that a live node was declared dead.
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
    """One run of hollow nodes; the constructor runs them for `SETTLE_SECONDS`."""

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
        self._partition_generations: set[int] = set()
        self._start()
        self._clock.run(SETTLE_SECONDS)
        memory = psutil.Process().memory_info().rss - memory_before
        self._memory_per_node = memory / 1e6 / nodes

    def run(self) -> ScaleResult:
        """Measure costs during changes, then a partition, a leaving engine and a node crash."""
        suspicions_before = sum(node.detections.suspicions for node in self._nodes.values())
        traffic = self._measure_traffic()
        suspicions = sum(n.detections.suspicions for n in self._nodes.values()) - suspicions_before
        false_deaths = sum(len(node.detections.dead_at) for node in self._nodes.values())
        after_partition = self._measure_partition()
        leaving_delay = self._measure_leaving()
        crash_delay, unaware_nodes = self._measure_crash()
        delays = self._in_force_delays()
        delay_percentiles = percentiles([delay for row in delays for delay in row])
        return ScaleResult(
            nodes=len(self._nodes),
            engines=len(self._engines),
            seed=self._seed,
            loss_share=self._network.loss_share,
            **traffic,
            memory_megabytes_per_node=self._memory_per_node,
            changes=len(delays),
            in_force_p50=delay_percentiles[50.0] / 1000,
            in_force_p99=delay_percentiles[99.0] / 1000,
            in_force_last=max(max(row) for row in delays),
            in_force_after_cut=after_partition,
            leaving_last=leaving_delay,
            death_last=crash_delay,
            unaware_of_death=unaware_nodes,
            false_suspicions_per_hour=suspicions
            / len(self._nodes)
            / len(self._nodes)
            * 3600
            / MEASURE_SECONDS,
            false_deaths=false_deaths,
        )

    # Setup

    def _make_engines(self, count: int) -> dict[str, HollowEngine]:
        engines: dict[str, HollowEngine] = {}
        for number in range(count):
            engine_id = f"region-{number % REGIONS}/engine-{number}"
            engines[engine_id] = HollowEngine(engine_id, EngineIdentity(1, 0, "2026-11", False))
        return engines

    def _make_nodes(self, count: int) -> dict[str, HollowNode]:
        parameters = membership_parameters()
        ids = [f"node-{number}" for number in range(count)]
        seeds = ids[:SEED_NODES]
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
        members = [node.membership.own for node in self._nodes.values()]
        for node in self._nodes.values():
            node.records.offer_listings(listings, spread=False)
            node.membership.merge(members, 0.0)
            node.start(self._nodes)
        self._confirm()

    # Measurements

    def _confirm(self) -> None:
        """Change one tenant and confirm the change on a random live node."""
        self._generation += 1
        tenant = self._random.choice(self._tenants)
        tenant.weight = float(self._generation)
        sections = encode_tenants(self._tenants)
        digests = {name: content_digest(content) for name, content in sections.items()}
        head = Head(self._generation, digests)
        self._confirmed_at[self._generation] = self._clock.now()
        confirming_node = self._random.choice([n for n in self._nodes.values() if n.alive])
        confirming_node.commit(head, {digests[name]: content for name, content in sections.items()})

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
        """Return the adoption delays of each change, except the first and that of the partition."""
        measured = [g for g in self._confirmed_at if g > 1 and g not in self._partition_generations]
        return [
            [
                node.detections.generation_at[g] - self._confirmed_at[g]
                for node in self._nodes.values()
                if g in node.detections.generation_at
            ]
            for g in measured
        ]

    def _measure_partition(self) -> float:
        """Confirm a change during a partition; return the time from its end to full adoption."""
        region = f"region-{REGIONS - 1}"
        self._network.partitioned_regions.add(region)
        self._clock.run(self._clock.now() + PARTITION_SECONDS / 2)
        generation_before = self._generation
        self._confirm()
        self._partition_generations = {self._generation}
        self._clock.run(self._clock.now() + PARTITION_SECONDS / 2)
        self._network.partitioned_regions.clear()
        healed_at = self._clock.now()
        self._clock.run(healed_at + 60.0)
        adopted_at = [
            node.detections.generation_at.get(generation_before + 1, float("inf"))
            for node in self._nodes.values()
        ]
        return max(max(adopted_at) - healed_at, 0.0)

    def _measure_leaving(self) -> float:
        engine = self._random.choice(list(self._engines.values()))
        engine.identity = replace(engine.identity, revision=1, leaving=True)
        marked_at = self._clock.now()
        for node in self._nodes.values():
            node.receive_engine_change(engine)
        self._clock.run(marked_at + 30.0)
        detected_at = [
            node.detections.leaving_at.get(engine.engine_id, float("inf"))
            for node in self._nodes.values()
        ]
        return max(detected_at) - marked_at

    def _measure_crash(self) -> tuple[float, int]:
        crashed_node = self._random.choice(list(self._nodes.values()))
        for node in self._nodes.values():
            node.detections.dead_at.pop(crashed_node.node_id, None)
        crashed_node.kill()
        crashed_at = self._clock.now()
        self._clock.run(crashed_at + 60.0)
        others = [node for node in self._nodes.values() if node is not crashed_node]
        detected_at = [
            node.detections.dead_at[crashed_node.node_id]
            for node in others
            if crashed_node.node_id in node.detections.dead_at
        ]
        return max(detected_at, default=float("inf")) - crashed_at, len(others) - len(detected_at)


def run_scale(nodes: int, engines: int, seed: int, loss_share: float) -> ScaleResult:
    """Run hollow nodes and return their costs and delays."""
    return ScaleRun(nodes, engines, seed, loss_share).run()


def format_scale(result: ScaleResult) -> str:
    """Return the result as text, one line for each field."""
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
