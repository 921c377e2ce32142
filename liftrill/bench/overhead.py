"""Measures the latency that a node adds to an engine, and the streaming capacity of a node.

Latencies are measured in pairs: each prompt is sent to an engine directly and through the node,
in random order. Streaming capacity is measured per second of the processor time of the node, so
that it does not depend on how fast this process reads.
"""

import asyncio
import random
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import aiohttp
import orjson
import psutil

from liftrill.bench.deployment import Deployment, api_key, load_deployment
from liftrill.bench.launcher import Cluster, EngineProcess, ManagedProcess
from liftrill.bench.summary import percentiles

PROMPT_CHARACTERS = 4_000
DIRECT_SALT = "00" * 32
STEP_SECONDS = 0.001
PREFILL_TOKENS_PER_SECOND = 2_000_000.0
STREAM_TOKENS = 500
TOKEN_MARK = b'"token_index"'


@dataclass(frozen=True, slots=True)
class OverheadResult:
    """The result of both measurements; latencies are in milliseconds.

    Attributes:
        added_p50: median of the latency difference within a pair, where negative differences count
            as 0.
        added_p99: 99th percentile of the same differences.
        node_core_share: processor cores that the node used during the pairs.
        streaming_core_share: processor cores that the node used during the streams.
        idle_memory_megabytes: resident memory of the node before the load.
    """

    seed: int
    requests_per_second: float
    pairs: int
    direct_p50: float
    direct_p99: float
    node_p50: float
    node_p99: float
    added_p50: float
    added_p99: float
    node_core_share: float
    streams: int
    streamed_tokens_per_second: float
    streaming_core_share: float
    tokens_per_core_second: float
    idle_memory_megabytes: float


def overhead_deployment() -> Deployment:
    """Return a deployment of one node and engines with the lowest latency of the emulator."""
    deployment = load_deployment("sahil")
    pool = deployment.pools[0]
    engine = pool.engine.model_copy(
        update={
            "step_base_seconds": STEP_SECONDS,
            "prefill_tokens_per_second": PREFILL_TOKENS_PER_SECOND,
            "maximum_running": 64,
            "idle_eviction_seconds": 60.0,
        }
    )
    pools = [pool.model_copy(update={"engines": 4, "engine": engine})]
    return deployment.model_copy(update={"nodes": 1, "pools": pools})


async def measure_overhead(
    directory: Path, seed: int, requests_per_second: float, seconds: float, streams: int
) -> OverheadResult:
    """Measure paired latencies, then streaming capacity."""
    async with Cluster(overhead_deployment(), directory, seed) as cluster:
        await cluster.configure()
        node = psutil.Process(_process_id(cluster.nodes[0]))
        idle_memory = node.memory_info().rss / 1e6
        load = _OverheadLoad(cluster, random.Random(seed))
        await load.pairs(requests_per_second, 1.0)  # warm-up, not measured
        processor_before, started_at = _processor_seconds(node), time.monotonic()
        pairs = await load.pairs(requests_per_second, seconds)
        core_share = (_processor_seconds(node) - processor_before) / (time.monotonic() - started_at)
        processor_before, started_at = _processor_seconds(node), time.monotonic()
        tokens = await load.streams(streams)
        elapsed = time.monotonic() - started_at
        processor = _processor_seconds(node) - processor_before
    direct = percentiles([pair[0] for pair in pairs])
    through_node = percentiles([pair[1] for pair in pairs])
    added = percentiles([max(0.0, pair[1] - pair[0]) for pair in pairs])
    return OverheadResult(
        seed=seed,
        requests_per_second=requests_per_second,
        pairs=len(pairs),
        direct_p50=direct[50.0],
        direct_p99=direct[99.0],
        node_p50=through_node[50.0],
        node_p99=through_node[99.0],
        added_p50=added[50.0],
        added_p99=added[99.0],
        node_core_share=core_share,
        streams=streams,
        streamed_tokens_per_second=tokens / elapsed,
        streaming_core_share=processor / elapsed,
        tokens_per_core_second=tokens / processor,
        idle_memory_megabytes=idle_memory,
    )


def format_overhead(result: OverheadResult) -> str:
    """Return the result as text, one line for each field."""
    return "\n".join(f"{key:28} {value}" for key, value in asdict(result).items())


class _OverheadLoad:
    """Sends the requests of both measurements to a cluster."""

    def __init__(self, cluster: Cluster, random_source: random.Random) -> None:
        self._cluster = cluster
        self._random = random_source
        self._request_count = 0
        self._model = cluster.deployment.pools[0].model

    async def pairs(self, requests_per_second: float, seconds: float) -> list[tuple[float, float]]:
        """Send pairs at a fixed open-loop rate.

        Returns:
            The latencies of each pair in seconds: direct, and through the node.
        """
        tasks: list[asyncio.Task[tuple[float, float]]] = []
        started_at = time.monotonic()
        for number in range(int(requests_per_second * seconds)):
            due = started_at + number / requests_per_second
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.create_task(self._pair()))
        return list(await asyncio.gather(*tasks))

    async def streams(self, count: int) -> int:
        """Read streams through the node concurrently and return the number of tokens."""
        return sum(await asyncio.gather(*(self._stream() for _ in range(count))))

    async def _pair(self) -> tuple[float, float]:
        self._request_count += 1
        prompt = f"[{self._request_count}]".ljust(PROMPT_CHARACTERS, "x")
        engine = self._random.choice(self._cluster.engines)
        if self._random.random() < 0.5:
            direct = await self._direct(engine, prompt)
            return direct, await self._through_node(prompt)
        through_node = await self._through_node(prompt)
        return await self._direct(engine, prompt), through_node

    async def _direct(self, engine: EngineProcess, prompt: str) -> float:
        body = {
            "model": self._model,
            "prompt": prompt,
            "max_tokens": 1,
            "cache_salt": DIRECT_SALT,
            "request_id": f"direct-{self._request_count}-{self._random.random()}",
            "attempt_id": f"direct-{self._request_count}-{self._random.random()}",
        }
        return await self._post_timed(f"http://{engine.managed.address}/v1/completions", body)

    async def _through_node(self, prompt: str) -> float:
        body = {"model": self._model, "prompt": prompt, "max_tokens": 1}
        return await self._post_timed(self._node_url(), body)

    async def _post_timed(self, url: str, body: dict[str, object]) -> float:
        started_at = time.perf_counter()
        headers = {"Authorization": f"Bearer {api_key('tenant-1')}"}
        async with self._cluster.session.post(
            url, data=orjson.dumps(body), headers=headers
        ) as response:
            await response.read()
            response.raise_for_status()
        return time.perf_counter() - started_at

    async def _stream(self) -> int:
        self._request_count += 1
        body = {
            "model": self._model,
            "prompt": f"[{self._request_count}]".ljust(PROMPT_CHARACTERS, "x"),
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {api_key('tenant-1')}"}
        tokens = 0
        async with self._cluster.session.post(
            self._node_url(),
            data=orjson.dumps(body),
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=120),
        ) as response:
            async for data in response.content.iter_any():
                tokens += data.count(TOKEN_MARK)
        return tokens

    def _node_url(self) -> str:
        return f"http://{self._cluster.nodes[0].address}/v1/completions"


def _process_id(process: ManagedProcess) -> int:
    assert process.process is not None
    return process.process.pid


def _processor_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
