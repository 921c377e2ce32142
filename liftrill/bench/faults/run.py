"""Runs load with reused idempotency keys under a schedule of faults and checks the history."""

import asyncio
import contextlib
import random
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from liftrill import constants
from liftrill.bench.caller import Caller, send_open_loop
from liftrill.bench.deployment import load_deployment
from liftrill.bench.faults.checkers import Verdict, check_all
from liftrill.bench.faults.inject import FaultInjector, weight_versions
from liftrill.bench.faults.observations import GenerationSample, RunHistory
from liftrill.bench.faults.schedule import FAULT_FREE_SHARE, draw_schedule
from liftrill.bench.history import CallRecord
from liftrill.bench.idempotency_key import new_key
from liftrill.bench.launcher import Cluster, LaunchError, ManagedProcess, wait_until
from liftrill.bench.workload import PlannedRequest, WorkloadGenerator
from liftrill.cli.operator_client import OperatorCallError
from liftrill.coordination.claims import RESTART_MARGIN_IN_SKEWS
from liftrill.mechanisms import ENVIRONMENT_NAME

UNREPEATABLE_SHARE = 0.3
MAXIMUM_SUBMISSIONS = 3
RETRY_WAIT_SECONDS = 0.3
# After a start, claim members abstain from keys created within the restart margin.
CLAIM_WARM_UP_SECONDS = RESTART_MARGIN_IN_SKEWS * constants.CLAIM_CLOCK_SKEW_SECONDS + 1.0
SAMPLE_INTERVAL_SECONDS = 0.25
AGREEMENT_TIMEOUT_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class FaultRunResult:
    """The result of one run.

    Attributes:
        disabled: names of the disabled mechanisms, separated by commas.
        requests: number of submissions, including repeated ones.
        answered_before: share of the requests sent before the first fault that completed.
        answered_during: share of the later requests that completed.
        slowest_restart_seconds: longest time from the start of a node process to its first
            successful response.
    """

    deployment: str
    seed: int
    disabled: str
    requests: int
    answered_before: float
    answered_during: float
    slowest_restart_seconds: float
    verdicts: list[Verdict]

    @property
    def violations(self) -> int:
        """The number of violations over all checkers."""
        return sum(len(verdict.violations) for verdict in self.verdicts)

    def as_json(self) -> dict[str, object]:
        """Return the result as a JSON object."""
        return {**asdict(self), "violations": self.violations}


async def run_faults(
    deployment_name: str, seed: int, seconds: float, directory: Path, disabled: str = ""
) -> FaultRunResult:
    """Run load and faults for one seed and return the verdicts.

    Args:
        deployment_name: name or path of a deployment file; see `load_deployment`.
        seed: seed of the load and the faults.
        seconds: duration of the load.
        directory: directory of the logs and journals.
        disabled: mechanisms to disable in the nodes, separated by commas.
    """
    deployment = load_deployment(deployment_name)
    environment = {ENVIRONMENT_NAME: disabled} if disabled else {}
    history = RunHistory()
    async with Cluster(deployment, directory, seed, environment) as cluster:
        await cluster.configure()
        await asyncio.sleep(CLAIM_WARM_UP_SECONDS)
        injector = FaultInjector(cluster, history)
        load = _FaultLoad(cluster, injector, history, seed)
        sampler = asyncio.create_task(load.sample_generations())
        started_at = time.monotonic()
        history.faults_began_at = started_at + seconds * FAULT_FREE_SHARE
        faults = asyncio.create_task(injector.run_schedule(draw_schedule(seed, seconds)))
        await load.send(seconds)
        await faults
        await load.record_final_state()
        sampler.cancel()
        history.executions = cluster.executions()
        history.reuses = cluster.reuses()
    before, during = _completed_shares(history)
    return FaultRunResult(
        deployment=deployment.name,
        seed=seed,
        disabled=disabled,
        requests=len(history.calls),
        answered_before=before,
        answered_during=during,
        slowest_restart_seconds=max(
            (s.seconds_to_first_answer or 0.0 for s in history.node_starts), default=0.0
        ),
        verdicts=check_all(history),
    )


class _FaultLoad:
    """The callers of a fault run.

    They resubmit a request that did not complete. A request that is not repeatable keeps its
    idempotency key.
    """

    def __init__(
        self, cluster: Cluster, injector: FaultInjector, history: RunHistory, seed: int
    ) -> None:
        self._cluster = cluster
        self._injector = injector
        self._history = history
        self._random = random.Random(f"callers/{seed}")
        self._generator = WorkloadGenerator(cluster.deployment, seed)
        self._caller = Caller(cluster.session, weight_versions(cluster))

    async def send(self, seconds: float) -> None:
        """Send the load and wait until all submissions have ended."""
        rate = self._cluster.deployment.load.requests_per_second
        planned = [
            self._with_random_repeatability(r) for r in self._generator.requests(rate, seconds)
        ]
        await send_open_loop(planned, lambda r: asyncio.create_task(self._submit(r)))

    def _with_random_repeatability(self, planned: PlannedRequest) -> PlannedRequest:
        """Return the request, marked as not repeatable for a random share of requests."""
        if self._random.random() >= UNREPEATABLE_SHARE:
            return planned
        workload = planned.workload.model_copy(update={"repeatable": False})
        return replace(planned, workload=workload)

    async def _submit(self, planned: PlannedRequest) -> CallRecord:
        """Submit a request to nodes in turn, as an application does, until it completes."""
        key = "" if planned.workload.repeatable else new_key(self._random)
        record: CallRecord | None = None
        for attempt in range(MAXIMUM_SUBMISSIONS):
            node = self._select_node(planned.number + attempt)
            record = await self._caller.send(node.name, node.address, planned, key)
            record.submission = attempt
            record.cut_by_planned_stop = self._was_cut_by_stop(node, record)
            self._history.calls.append(record)
            if record.complete:
                return record
            await asyncio.sleep(RETRY_WAIT_SECONDS * (attempt + 1))
        assert record is not None
        return record

    def _select_node(self, number: int) -> ManagedProcess:
        """Return the first node from an index on that is not known to be down."""
        nodes = self._cluster.nodes
        order = [nodes[(number + offset) % len(nodes)] for offset in range(len(nodes))]
        available = [node for node in order if node.name not in self._injector.down_nodes]
        return (available or order)[0]

    def _was_cut_by_stop(self, node: ManagedProcess, record: CallRecord) -> bool:
        is_stopping = node.name in self._injector.stopping_nodes
        refused = "Connect" in record.transport_error
        return is_stopping and bool(record.transport_error) and not refused

    async def sample_generations(self) -> None:
        """Periodically record the configuration generation in force on each node."""
        while True:
            await asyncio.gather(*(self._sample_node(i) for i in range(len(self._cluster.nodes))))
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)

    async def _sample_node(self, index: int) -> None:
        node = self._cluster.nodes[index]
        start_count = self._injector.start_counts[node.name]
        if node.name in self._injector.down_nodes:
            return
        try:
            status = await self._cluster.operator(index).call("GET", "/status")
        except OperatorCallError:
            return
        if start_count == self._injector.start_counts[node.name]:
            generation = int(status["generation"])
            self._history.samples.append(
                GenerationSample(time.time(), node.name, start_count, generation)
            )

    async def record_final_state(self) -> None:
        """Wait until all nodes have the same generation and record their configuration."""
        # If the nodes do not agree within the timeout, `check_configuration` reports it.
        with contextlib.suppress(LaunchError):
            await wait_until(
                self._nodes_agree, "all nodes have the same generation", AGREEMENT_TIMEOUT_SECONDS
            )
        for index, node in enumerate(self._cluster.nodes):
            operator = self._cluster.operator(index)
            status = await operator.call("GET", "/status")
            rows = (await operator.call("GET", "/history"))["confirmations"]
            self._history.final_generations[node.name] = int(status["generation"])
            self._history.confirmation_summaries[node.name] = [row["summary"] for row in rows]

    async def _nodes_agree(self) -> bool:
        newest = max((c.generation for c in self._history.confirmations), default=0)
        generations = set()
        for index in range(len(self._cluster.nodes)):
            status = await self._cluster.operator(index).call("GET", "/status")
            generations.add(int(status["generation"]))
        return len(generations) == 1 and generations.pop() >= newest


def _completed_shares(history: RunHistory) -> tuple[float, float]:
    """Return the shares of requests sent before and during the faults that finally completed."""
    first_calls: dict[int, CallRecord] = {}
    completed: set[int] = set()
    for call in history.calls:
        first_calls.setdefault(call.number, call)
        if call.complete:
            completed.add(call.number)
    began_at = history.faults_began_at
    before = [n for n, call in first_calls.items() if call.sent_at < began_at]
    during = [n for n, call in first_calls.items() if call.sent_at >= began_at]
    return _completed_share(before, completed), _completed_share(during, completed)


def _completed_share(numbers: Sequence[int], completed: set[int]) -> float:
    return sum(1 for number in numbers if number in completed) / len(numbers) if numbers else 1.0


def format_faults(result: FaultRunResult) -> str:
    """Return a result as text."""
    lines = [
        f"{result.deployment} seed {result.seed}: {result.requests} submissions, completed "
        f"{result.answered_before:.3f} before and {result.answered_during:.3f} during faults, "
        f"slowest restart {result.slowest_restart_seconds:.2f} s"
    ]
    if result.disabled:
        lines[0] += f", without {result.disabled}"
    for verdict in result.verdicts:
        lines.append(
            f"  {verdict.promise:24} checked {verdict.checked:6}  "
            f"violations {len(verdict.violations)}"
        )
        lines.extend(f"    {violation}" for violation in verdict.violations[:5])
    return "\n".join(lines)
