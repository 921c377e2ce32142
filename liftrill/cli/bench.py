"""`liftrill bench`: benchmarks and simulations."""

import tempfile
from dataclasses import asdict
from pathlib import Path

import orjson
import uvloop

from liftrill.bench.decision import measure_decisions
from liftrill.bench.faults.run import format_faults, run_faults
from liftrill.bench.live import format_live, run_live
from liftrill.bench.memory import measure_memory
from liftrill.bench.overhead import format_overhead, measure_overhead
from liftrill.bench.restart import format_restarts, measure_restarts
from liftrill.bench.scale.run import format_scale, run_scale
from liftrill.bench.simulation.compare import BASELINES, format_comparison
from liftrill.bench.simulation.compare import compare as run_comparison
from liftrill.bench.simulation.scenario import load_scenario


def overhead(
    *,
    seed: int = 1,
    requests_per_second: float = 100.0,
    seconds: float = 20.0,
    streams: int = 48,
    json: bool = False,
) -> None:
    """Measure the latency a node adds to direct calls of an engine, and its streaming capacity.

    :param seed: seed of the order of the two requests of each pair
    :param requests_per_second: pairs sent per second
    :param seconds: duration of sending pairs
    :param streams: concurrent streams when measuring the streaming capacity
    :param json: print JSON
    """
    with tempfile.TemporaryDirectory(prefix="liftrill-overhead-") as directory:
        result = uvloop.run(
            measure_overhead(Path(directory), seed, requests_per_second, seconds, streams)
        )
    _print(asdict(result), format_overhead(result), json)


def faults(
    *,
    deployment: str = "sahil",
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 24.0,
    without: str = "",
    json: bool = False,
) -> int:
    """Send load under a seeded schedule of faults and check every delivery guarantee.

    Exits with 1 if a guarantee was violated.

    :param deployment: name of a file under deployments/, or a path
    :param seed: first seed of load and faults
    :param seeds: number of seeds to run, one after the other
    :param seconds: duration of the load for each seed
    :param without: safety mechanisms to disable, separated by commas
    :param json: print JSON, one line for each seed
    """
    violations = 0
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory(prefix="liftrill-faults-") as directory:
            run = run_faults(deployment, number, seconds, Path(directory), without)
            result = uvloop.run(run)
        violations += result.violations
        line = orjson.dumps(result.as_json()).decode() if json else format_faults(result)
        print(line, flush=True)
    return 1 if violations else 0


def compare(
    *,
    scenario: str,
    policies: str = ",".join([*BASELINES, "liftrill_without_store", "liftrill"]),
    seeds: str = "1..10",
    workers: int = 4,
    json: bool = False,
) -> None:
    """Compare routing policies in virtual time, on the same arrival trace for each seed.

    :param scenario: name of a file under scenarios/, or a path
    :param policies: names, separated by commas
    :param seeds: first and last seed, as A..B
    :param workers: number of concurrent runs
    :param json: print JSON
    """
    first, _, last = seeds.partition("..")
    numbers = range(int(first), int(last or first) + 1)
    result = run_comparison(load_scenario(scenario), policies.split(","), numbers, workers)
    _print(result.as_json(), format_comparison(result), json)


def scale(
    *,
    nodes: int = 350,
    engines: int = 2400,
    seed: int = 1,
    loss: float = 0.05,
    json: bool = False,
) -> None:
    """Simulate nodes without traffic in virtual time and measure the coordination cost of each.

    :param nodes: simulated nodes, over 6 regions and 22 zones
    :param engines: engines that the nodes watch
    :param seed: seed of all random choices
    :param loss: share of gossip datagrams that are lost
    :param json: print JSON
    """
    result = run_scale(nodes, engines, seed, loss)
    _print(asdict(result), format_scale(result), json)


def live(
    *,
    scenario: str,
    policies: str = "random,least_loaded,cache_aware,prefix_hash,liftrill_without_store,liftrill",
    seed: int = 1,
    seconds: float = 30.0,
    json: bool = False,
) -> None:
    """Run the same load on a deployment of separate processes, once for each policy.

    :param scenario: name of a file under scenarios/, or a path; only its load is used
    :param policies: names, separated by commas
    :param seed: seed of the load
    :param seconds: duration of the load
    :param json: print JSON
    """
    loaded = load_scenario(scenario)
    rows = []
    for policy in policies.split(","):
        with tempfile.TemporaryDirectory(prefix="liftrill-live-") as directory:
            rows.append(uvloop.run(run_live(loaded, policy, seed, seconds, Path(directory))))
    _print([asdict(row) for row in rows], format_live(rows), json)


def report(
    *,
    scenario: str,
    policies: str = "least_loaded,cache_aware,prefix_hash,liftrill_without_store,liftrill",
    seed: int = 1,
    directory: Path = Path("reports"),
) -> None:
    """Simulate a scenario in virtual time and write a page with its results and plots over time.

    :param scenario: name of a file under scenarios/, or a path
    :param policies: names, separated by commas
    :param seed: seed of the load
    :param directory: directory of the page and its plot
    """
    # Imported here, since only this command needs the plotting library of the extra `report`.
    from liftrill.bench.report import write_report

    print(write_report(load_scenario(scenario), policies.split(","), seed, directory))


def restart(*, deployment: str = "sahil", restarts: int = 6, json: bool = False) -> None:
    """Measure the time from a node's restart to its first answer while the store is down.

    :param deployment: name of a file under deployments/, or a path
    :param restarts: number of times a node is killed and restarted
    :param json: print JSON
    """
    with tempfile.TemporaryDirectory(prefix="liftrill-restart-") as directory:
        result = uvloop.run(measure_restarts(deployment, restarts, Path(directory)))
    _print(asdict(result), format_restarts(result), json)


def memory(*, json: bool = False) -> None:
    """Measure the memory per item of each kind of state.

    :param json: print JSON
    """
    costs = measure_memory()
    text = "\n".join(f"{cost.item:32} {cost.bytes_each:8.0f} bytes" for cost in costs)
    _print([asdict(cost) for cost in costs], text, json)


def decision(
    *,
    engines: int = 400,
    prefixes: int = 10_000,
    decisions: int = 5_000,
    policy: str = "liftrill",
    seed: int = 1,
    json: bool = False,
) -> None:
    """Measure the duration of a routing decision.

    :param engines: eligible engines
    :param prefixes: shared prefixes in the directory
    :param decisions: decisions to time
    :param policy: name of the routing policy
    :param seed: seed of the requests
    :param json: print JSON
    """
    result = measure_decisions(engines, prefixes, decisions, policy, seed)
    text = "\n".join(f"{key:28} {value}" for key, value in asdict(result).items())
    _print(asdict(result), text, json)


def _print(content: object, text: str, as_json: bool) -> None:
    if as_json:
        print(orjson.dumps(content, option=orjson.OPT_INDENT_2).decode())
    else:
        print(text)
