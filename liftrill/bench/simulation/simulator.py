"""Runs one scenario under one policy in virtual time; equal seeds give equal runs."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from liftrill import constants
from liftrill.bench.deployment import Deployment, intent_of
from liftrill.bench.simulation.clock import VirtualClock
from liftrill.bench.simulation.engine import SimulatedEngine
from liftrill.bench.simulation.kept_store import SimulatedKeptStore
from liftrill.bench.simulation.node import SimulatedNode
from liftrill.bench.simulation.scenario import Scenario
from liftrill.bench.summary import UnlimitedCache
from liftrill.bench.workload import PlannedRequest, WorkloadGenerator
from liftrill.cache.tokenizer import FixedWidthTokenizer
from liftrill.coordination.configuration import Configuration, Head, content_digest
from liftrill.emulator.engine_messages import Assignment, EngineParameters
from liftrill.planning.intent import Intent
from liftrill.planning.plan import make_plan
from liftrill.planning.sections import ConfigurationView
from liftrill.routing.outcome import Completed, Outcome
from liftrill.routing.request import RoutedRequest
from liftrill.routing.watch_assignment import watched_engines

SAME_ZONE_LATENCY_SECONDS = 0.0001
DRAIN_SECONDS = 60.0


@dataclass(slots=True)
class SimulatedCall:
    """A request as its caller observed it; times are virtual, in seconds.

    Attributes:
        urgent: whether the workload has priority 0.
        reusable_tokens: prompt tokens that an unlimited cache would have contained.
        refused: whether the request ended without a complete response.
    """

    sent_at: float
    urgent: bool
    prompt_tokens: int
    reusable_tokens: int
    first_token_at: float | None = None
    cached_tokens: int = 0
    complete: bool = False
    refused: bool = False


class Simulation:
    """A simulation of one scenario under one policy."""

    def __init__(self, scenario: Scenario, policy: str, seed: int) -> None:
        self._scenario = scenario
        self._policy = policy
        self._seed = seed
        self._deployment = scenario.scaled_deployment()
        self._clock = VirtualClock()
        self._random = random.Random(f"simulation/{seed}")
        self._tokenizer = FixedWidthTokenizer()
        self._kept_store = SimulatedKeptStore(self._deployment.kept_store_blocks * scenario.scale)
        self._engines = self._make_engines()
        self._nodes = self._make_nodes()
        self._calls: list[SimulatedCall] = []

    def run(self) -> list[SimulatedCall]:
        """Run the scenario and return the calls that were sent after the warm-up."""
        self._schedule_background_work()
        self._schedule_faults()
        self._schedule_arrivals()
        self._clock.run(self._scenario.seconds + DRAIN_SECONDS)
        return [c for c in self._calls if c.sent_at >= self._scenario.warm_up_seconds]

    @property
    def exported_blocks(self) -> int:
        """The number of blocks exported to the kept-KV store."""
        return self._kept_store.exported_blocks

    # Setup

    def _make_engines(self) -> list[SimulatedEngine]:
        engines: list[SimulatedEngine] = []
        pool = self._deployment.pools[0]
        parameters = EngineParameters(
            **pool.engine.model_dump(),
            event_loss_share=self._scenario.event_loss_share,
            report_lag_seconds=self._scenario.report_lag_seconds,
        )
        zones = self._deployment.zones
        for number in range(pool.engines):
            engines.append(
                SimulatedEngine(
                    self._clock,
                    f"{pool.name}-{number}",
                    zones[number % len(zones)],
                    parameters,
                    Assignment(pool.name, pool.model, pool.weight_version),
                    seed=self._seed * 1000 + number,
                )
            )
        return engines

    def _make_nodes(self) -> dict[str, SimulatedNode]:
        configuration = configuration_of(self._deployment)
        zones = self._deployment.zones
        nodes: dict[str, SimulatedNode] = {}
        for number in range(self._deployment.nodes):
            node_id = f"{self._deployment.application}-{number}"
            nodes[node_id] = SimulatedNode(
                clock=self._clock,
                node_id=node_id,
                zone=zones[number % len(zones)],
                engines=self._engines,
                pool=self._deployment.pools[0].name,
                configuration=configuration,
                policy=self._policy,
                kept_store=self._kept_store,
                latency=self._latency,
                seed=self._seed * 1000 + number,
            )
        return nodes

    def _latency(self, zone: str, other_zone: str) -> float:
        if zone == other_zone:
            return SAME_ZONE_LATENCY_SECONDS
        return self._deployment.one_way_milliseconds_between_zones / 1000

    # Scheduling

    def _schedule_background_work(self) -> None:
        engine_ids = [engine.engine_id for engine in self._engines]
        engines_by_id = {engine.engine_id: engine for engine in self._engines}
        for node in self._nodes.values():
            watched_ids = watched_engines(node.node_id, self._nodes, engine_ids)
            watched_by_node = [engines_by_id[engine_id] for engine_id in watched_ids]
            self._schedule_repeatedly(
                constants.ENGINE_REPORT_INTERVAL_SECONDS,
                lambda n=node: self._poll_random_engines(n),  # type: ignore[misc]
            )
            if constants.EVENT_READ_INTERVAL_SECONDS > 0:
                self._schedule_repeatedly(
                    constants.EVENT_READ_INTERVAL_SECONDS,
                    lambda n=node, w=watched_by_node: self._read_events(n, w),  # type: ignore[misc]
                )
            self._schedule_repeatedly(
                constants.HOME_EXCHANGE_INTERVAL_SECONDS,
                lambda n=node: n.exchange_prefix_reports(self._nodes),  # type: ignore[misc]
            )

    def _poll_random_engines(self, node: SimulatedNode) -> None:
        sample_size = min(constants.ENGINE_EXTRA_REPORTS, len(self._engines))
        for engine in self._random.sample(self._engines, sample_size):
            node.poll_report(engine)

    @staticmethod
    def _read_events(node: SimulatedNode, watched: list[SimulatedEngine]) -> None:
        for engine in watched:
            node.read_events(engine)

    def _schedule_repeatedly(self, interval: float, callback: Callable[[], None]) -> None:
        def run_and_reschedule() -> None:
            callback()
            if self._clock.now() < self._scenario.seconds + DRAIN_SECONDS:
                self._clock.call_later(
                    interval * self._random.uniform(0.8, 1.2), run_and_reschedule
                )

        self._clock.call_later(interval * self._random.random(), run_and_reschedule)

    def _schedule_faults(self) -> None:
        for crash in self._scenario.engine_crashes:
            engine = self._engines[crash.engine % len(self._engines)]
            self._clock.call_at(crash.at_seconds, engine.crash)
        for at in self._scenario.node_restart_seconds:
            for node in self._nodes.values():
                self._clock.call_at(at, node.restart)

    def _schedule_arrivals(self) -> None:
        generator = WorkloadGenerator(self._deployment, self._seed)
        unlimited_cache = UnlimitedCache()
        scenario = self._scenario
        for planned in generator.varying_requests(
            scenario.rate_at, scenario.highest_rate, scenario.seconds, scenario.prefix_epoch
        ):
            call = SimulatedCall(
                sent_at=planned.send_at,
                urgent=planned.workload.priority == 0,
                prompt_tokens=self._tokenizer.count(planned.prompt.encode()),
                reusable_tokens=unlimited_cache.reusable_tokens(planned),
            )
            self._calls.append(call)
            self._clock.call_at(
                planned.send_at,
                lambda p=planned, c=call: self._send(p, c),  # type: ignore[misc]
            )

    def _send(self, planned: PlannedRequest, call: SimulatedCall) -> None:
        delay = self._deployment.one_way_milliseconds_to_clients / 1000
        nodes = list(self._nodes.values())
        node = nodes[planned.number % len(nodes)]
        request = self._routed_request(planned, delay)

        def on_first_token(at: float) -> None:
            call.first_token_at = at + delay

        def on_end(outcome: Outcome) -> None:
            call.complete = isinstance(outcome, Completed)
            call.refused = not call.complete
            if isinstance(outcome, Completed):
                call.cached_tokens = outcome.cached_tokens

        self._clock.call_later(delay, lambda: node.serve(request, on_first_token, on_end))

    def _routed_request(self, planned: PlannedRequest, delay: float) -> RoutedRequest:
        prompt = planned.prompt.encode()
        workload = planned.workload
        return RoutedRequest(
            request_id=f"request-{planned.number}",
            tenant=planned.tenant,
            workload=workload.name,
            model=workload.model,
            prompt=prompt,
            prompt_tokens=self._tokenizer.count(prompt),
            maximum_tokens=workload.output_tokens,
            priority=workload.priority,
            deadline=planned.send_at + delay + workload.deadline_milliseconds / 1000,
        )


def configuration_of(deployment: Deployment) -> Configuration:
    """Return the configuration that results from the intent of a deployment."""
    intent = Intent.model_validate(intent_of(deployment, [f"{deployment.application}-0"]))
    plan = make_plan("simulation", intent, ConfigurationView(), {})
    digests = {name: content_digest(content) for name, content in plan.sections.items()}
    return Configuration(Head(1, digests), plan.sections)
