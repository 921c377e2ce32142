"""`liftrill demo`: a complete deployment of local processes under load."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from liftrill.bench.deployment import load_deployment
from liftrill.bench.history import CallRecord
from liftrill.bench.launcher import Cluster
from liftrill.bench.live import send_planned
from liftrill.bench.summary import format_summary, summarize
from liftrill.bench.workload import WorkloadGenerator

PROGRESS_SECONDS = 1.0
GUARANTEE_VIOLATED_EXIT_CODE = 1


def demo(*, deployment: str = "sahil", seed: int = 1, seconds: float | None = None) -> int:
    """Start a deployment on this machine, send it load, print a summary and stop it.

    Exits with 1 if an answer violated a guarantee or a request got no answer.

    :param deployment: name of a file under deployments/, or a path
    :param seed: seed of the load
    :param seconds: duration of the load; by default from the deployment
    """
    return uvloop.run(_run_demo(deployment, seed, seconds))


async def _run_demo(name: str, seed: int, seconds: float | None) -> int:
    deployment = load_deployment(name)
    with tempfile.TemporaryDirectory(prefix="liftrill-demo-") as directory:
        cluster = Cluster(deployment, Path(directory), seed)
        print(f"starting {deployment.name}, seed {seed}", flush=True)
        async with cluster:
            generation = await cluster.configure()
            print(f"{len(cluster.processes)} processes, generation {generation}", flush=True)
            duration = seconds if seconds is not None else deployment.load.seconds
            records = await _send_load(cluster, seed, duration)
    summary = summarize(records)
    print(format_summary(summary))
    unanswered = sum(1 for record in records if record.outcome == "no answer")
    return GUARANTEE_VIOLATED_EXIT_CODE if summary.problems or unanswered else 0


async def _send_load(cluster: Cluster, seed: int, seconds: float) -> list[CallRecord]:
    deployment = cluster.deployment
    generator = WorkloadGenerator(deployment, seed)
    planned = list(generator.requests(deployment.load.requests_per_second, seconds))
    answered: list[CallRecord] = []
    progress = asyncio.create_task(_show_progress(answered, len(planned)))
    records = await send_planned(cluster, planned, answered.append)
    progress.cancel()
    sys.stderr.write("\n")
    return records


async def _show_progress(answered: list[CallRecord], total: int) -> None:
    started_at = time.monotonic()
    while True:
        elapsed = time.monotonic() - started_at
        sys.stderr.write(f"\r{elapsed:5.1f} s  {len(answered)} of {total} requests answered")
        sys.stderr.flush()
        await asyncio.sleep(PROGRESS_SECONDS)
