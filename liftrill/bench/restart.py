"""Measures the time from a node restart to its first response, with the platform store down."""

import asyncio
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import orjson
import psutil

from liftrill.bench.deployment import api_key, load_deployment
from liftrill.bench.launcher import Cluster, ManagedProcess, wait_until

OUTAGE_SECONDS = 600.0
GOSSIP_QUIET_SECONDS = 8.0
KILL_WAIT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class RestartResult:
    """The result of each restart.

    Attributes:
        seconds: time from the start of the process to the first response.
        processor_seconds: processor time of the node until then.
    """

    seconds: tuple[float, ...]
    processor_seconds: tuple[float, ...]


async def measure_restarts(deployment: str, restarts: int, directory: Path) -> RestartResult:
    """Kill and restart one node after the other during an outage of the platform."""
    seconds: list[float] = []
    processor_times: list[float] = []
    async with Cluster(load_deployment(deployment), directory) as cluster:
        await cluster.configure()
        await asyncio.sleep(GOSSIP_QUIET_SECONDS)
        await cluster.platform_fault(kind="outage", seconds=OUTAGE_SECONDS)
        for number in range(restarts):
            node = cluster.nodes[number % len(cluster.nodes)]
            node.send_signal(signal.SIGKILL)
            await asyncio.to_thread(node.wait, KILL_WAIT_SECONDS)
            started_at = time.monotonic()
            node.start()
            await wait_until(lambda n=node: _is_serving(cluster, n), f"{node.name} is serving")  # type: ignore[misc]
            seconds.append(time.monotonic() - started_at)
            assert node.process is not None
            times = psutil.Process(node.process.pid).cpu_times()
            processor_times.append(float(times.user + times.system))
    return RestartResult(tuple(seconds), tuple(processor_times))


async def _is_serving(cluster: Cluster, node: ManagedProcess) -> bool:
    model = cluster.deployment.pools[0].model
    body = orjson.dumps({"model": model, "prompt": "first", "max_tokens": 1})
    headers = {"Authorization": f"Bearer {api_key('tenant-1')}"}
    url = f"http://{node.address}/v1/completions"
    async with cluster.session.post(url, data=body, headers=headers) as response:
        return response.status == 200


def format_restarts(result: RestartResult) -> str:
    """Return the result as text, one line for each restart."""
    rows = zip(result.seconds, result.processor_seconds, strict=True)
    lines = [f"{s:6.2f} s to the first response, {p:5.2f} s of processor time" for s, p in rows]
    return "\n".join(lines)
