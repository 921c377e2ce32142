"""Measures the time of a routing decision with many engines and shared prefixes."""

import random
import time
from dataclasses import dataclass

from liftrill import constants
from liftrill.bench.deployment import load_deployment
from liftrill.bench.simulation.simulator import configuration_of
from liftrill.bench.summary import percentiles
from liftrill.cache.directory import PrefixDirectory
from liftrill.planning.sections import configuration_view
from liftrill.routing.admission import AdmissionController
from liftrill.routing.engine_state import EngineIdentity, EngineListing, EngineTable
from liftrill.routing.policies import POLICIES
from liftrill.routing.request import RoutedRequest
from liftrill.routing.request_state_machine import EngineChoice
from liftrill.routing.router import Router

PROMPT_BYTES = 4_000
SECRET = b"decision-bench"
MODEL = "chart-reader"


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """Time of a routing decision in microseconds; block hashing is measured separately."""

    engines: int
    prefixes: int
    decisions: int
    p50_microseconds: float
    p99_microseconds: float
    hashing_p50_microseconds: float
    directory_markers: int


def measure_decisions(
    engines: int, prefixes: int, decisions: int, policy: str, seed: int
) -> DecisionCost:
    """Measure decisions for random prefixes, after a warm-up that requests each prefix twice."""
    random_source = random.Random(seed)
    router = _router(engines, prefixes, policy, random_source)
    prefix_names = [f"prefix-{number:08d}".encode() for number in range(prefixes)]
    prompts = [name.ljust(PROMPT_BYTES, b"x") for name in prefix_names]
    order = [random_source.randrange(prefixes) for _ in range(prefixes * 2 + decisions)]
    order[: prefixes * 2] = [*range(prefixes), *range(prefixes)]
    decision_seconds: list[float] = []
    hashing_seconds: list[float] = []
    for number, prefix in enumerate(order):
        request = _request(number, prompts[prefix])
        started_at = time.perf_counter()
        _hash_blocks(router, request)
        hashed_at = time.perf_counter()
        choice = router.choose(request, frozenset(), None)
        ended_at = time.perf_counter()
        assert isinstance(choice, EngineChoice)
        router.record_abandoned(request)
        if number >= prefixes * 2:
            decision_seconds.append(ended_at - hashed_at)
            hashing_seconds.append(hashed_at - started_at)
    decision_percentiles = percentiles(decision_seconds)
    return DecisionCost(
        engines=engines,
        prefixes=prefixes,
        decisions=decisions,
        p50_microseconds=decision_percentiles[50.0] * 1000,
        p99_microseconds=decision_percentiles[99.0] * 1000,
        hashing_p50_microseconds=percentiles(hashing_seconds)[50.0] * 1000,
        directory_markers=router.directory_size,
    )


def _router(engines: int, prefixes: int, policy: str, random_source: random.Random) -> Router:
    deployment = load_deployment("sahil")
    directory = PrefixDirectory(prefixes * 8, constants.DIRECTORY_CANDIDATES + prefixes * 8)
    table = EngineTable()
    pool = deployment.pools[0]
    for number in range(engines):
        engine_id = f"engine-{number}"
        table.apply_listing(EngineListing(engine_id, engine_id, "zone", pool.name, False))
        state = table.get(engine_id)
        assert state is not None
        state.apply_identity(EngineIdentity(1, 0, pool.weight_version, False))
    routing_policy = POLICIES[policy](directory, random_source)
    router = Router(table, routing_policy, directory, AdmissionController(), SECRET, time.monotonic)
    router.view = configuration_view(configuration_of(deployment))
    return router


def _request(number: int, prompt: bytes) -> RoutedRequest:
    return RoutedRequest(
        request_id=f"request-{number}",
        tenant="tenant-1",
        workload="folio-review",
        model=MODEL,
        prompt=prompt,
        prompt_tokens=len(prompt) // constants.TOKEN_BYTES,
        maximum_tokens=16,
        priority=1,
        deadline=time.monotonic() + 60.0,
    )


def _hash_blocks(router: Router, request: RoutedRequest) -> None:
    pool = router.view.pools.pools[0]
    router.block_names(request, pool)
