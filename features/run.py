"""Runs the features with behave and prints `N passed, N failed` from behave's own counts.

Feature files are distributed to parallel processes, the slowest first. A process that ends without
results, or does not end in time, fails the run. Scenarios listed in KNOWN-RED.txt (one a line:
`scenario | cause | issue`, at most 12) may fail without failing the run. They are printed, and a
listed scenario that passes fails the run, so that the list cannot become outdated, unless its cause
begins with "sometimes:".
"""

import json
import os
import signal
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Runner

from features.worker import MAX_WORKER_S, WorkerProcesses, end_after, end_with_parent
from liftrill.bench.launcher import DEFAULT_PORT_RANGE, PORTS_VARIABLE

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_PATH = ROOT / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 12
# Half of the cores: many features start several processes and check durations.
WORKERS = max(1, (os.cpu_count() or 1) // 2)
# The processes of each worker use their own part of the range of ports in the environment, so
# that two runs at a time can use different ports.
MAX_PORTS_OF_A_WORKER = 2_000
RESULTS_OPTION = "--results="
# Marks the cause of a listed scenario that fails in some runs only.
INTERMITTENT = "sometimes:"
# Characters of a failed check that are printed with the scenario's name: its first lines.
MAX_REASON_LENGTH = 600
# Characters of a worker's output that are printed as the reason if it ended without results.
MAX_TAIL_LENGTH = 4_000
# The slowest feature files, started first: they take 612 to 50 s on a busy machine.
SLOWEST_FEATURES = (
    "soak",
    "cut_heads",
    "fleet_restart",
    "promises",
    "quotas",
    "builds",
    "at_most_once",
    "command_line",
    "stopping_nodes",
    "platform",
    "crash_parts",
    "crash_requests",
    "ended_nodes",
    "model_checking",
    "callers",
    "platform_relay",
    "store_era",
    "engine_words",
    "caller_division",
    "engine_speeds",
    "room",
    "holding_process",
)


@dataclass(frozen=True, slots=True)
class Result:
    """The status of one scenario, and the failed step with its error."""

    name: str
    location: str
    status: str
    reason: str = ""


def known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by scenario."""
    if not KNOWN_RED_PATH.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED_PATH.read_text().splitlines()]
    rows = [line for line in lines if line and not line.startswith("#")]
    if len(rows) > KNOWN_RED_LIMIT:
        raise SystemExit(f"KNOWN-RED.txt lists {len(rows)} scenarios; {KNOWN_RED_LIMIT} at most")
    return {row.split("|")[0].strip(): row for row in rows}


def run_features(options: list[str], paths: list[str]) -> list[Result]:
    """Run features in this process and return the results of their scenarios."""
    configuration = Configuration(["--format=progress3", "--no-capture", *options, *paths])
    runner = Runner(configuration)
    runner.run()
    scenarios = [s for feature in runner.features for s in feature.walk_scenarios()]
    return [_result(scenario) for scenario in scenarios]


def _result(scenario: Scenario) -> Result:
    failed = [s for s in scenario.all_steps if s.error_message]
    reason = "".join(f"{s.name}: {s.error_message}"[:MAX_REASON_LENGTH] for s in failed[:1])
    return Result(scenario.name.strip(), str(scenario.location), scenario.status.name, reason)


def run_as_worker(target: Path, arguments: list[str]) -> int:
    """Run features as one worker and write their results to a file."""
    end_with_parent()
    end_after(MAX_WORKER_S)
    options, paths = _split(arguments)
    results = run_features(options, paths)
    target.write_text(json.dumps([asdict(result) for result in results]))
    return 0


def run_in_parallel(options: list[str], paths: list[str]) -> list[Result]:
    """Run each file in its own process, at most `WORKERS` at a time."""
    ordered = sorted(paths, key=_rank)
    workers = min(WORKERS, len(ordered))
    free_ranges = port_ranges(os.environ.get(PORTS_VARIABLE, DEFAULT_PORT_RANGE), workers)

    processes = WorkerProcesses()
    running: set[str] = set()

    def run_one(path: str) -> list[Result]:
        ports = free_ranges.pop()
        running.add(path)
        try:
            return _run_worker(processes, ports, options, path)
        finally:
            running.discard(path)
            free_ranges.append(ports)

    with ThreadPoolExecutor(workers) as pool:
        try:
            return [result for results in pool.map(run_one, ordered) for result in results]
        except KeyboardInterrupt:
            print(f"interrupted during {', '.join(sorted(running))}", flush=True)
            pool.shutdown(wait=False, cancel_futures=True)
            processes.stop()
            raise


def _rank(path: str) -> int:
    name = Path(path).stem
    return SLOWEST_FEATURES.index(name) if name in SLOWEST_FEATURES else len(SLOWEST_FEATURES)


def port_ranges(whole: str, workers: int) -> list[str]:
    """Return disjoint parts of a range of ports, FIRST-LAST, one for each worker."""
    first, last = map(int, whole.split("-"))
    size = min(MAX_PORTS_OF_A_WORKER, (last - first + 1) // workers)
    starts = [first + number * size for number in range(workers)]
    return [f"{start}-{start + size - 1}" for start in starts]


def _run_worker(
    processes: WorkerProcesses, ports: str, options: list[str], path: str
) -> list[Result]:
    with tempfile.TemporaryDirectory(prefix="liftrill-results-") as directory:
        target = Path(directory) / "results.json"
        output_path = Path(directory) / "output"
        command = [sys.executable, "-m", "features.run", f"{RESULTS_OPTION}{target}"]
        processes.run(
            [*command, *options, path], ROOT, {**os.environ, PORTS_VARIABLE: ports}, output_path
        )
        output = output_path.read_text(errors="replace")
        print(output, flush=True)
        if not target.exists():
            name = f"the process that ran {path}"
            return [Result(name, path, "ended without results", output[-MAX_TAIL_LENGTH:])]
        return [Result(**row) for row in json.loads(target.read_text())]


def _split(arguments: list[str]) -> tuple[list[str], list[str]]:
    options = [a for a in arguments if a.startswith("-")]
    selected = [a for a in arguments if not a.startswith("-")]
    return options, selected or [str(p) for p in sorted((ROOT / "features").glob("*.feature"))]


def _is_intermittent(row: str) -> bool:
    return row.partition("|")[2].strip().startswith(INTERMITTENT)


def report(results: list[Result], listed: dict[str, str]) -> int:
    """Print the results, unexpected ones last, and return the exit code."""
    passed = [r for r in results if r.status == Status.passed.name]
    failed = [r for r in results if r.status not in (Status.passed.name, Status.skipped.name)]
    unexpected = [r for r in failed if r.name not in listed]
    fixed = [r for r in passed if r.name in listed and not _is_intermittent(listed[r.name])]
    for row in listed.values():
        print(f"KNOWN RED {row}")
    for result in (r for r in failed if r.name in listed):
        print(f"KNOWN RED, FAILED {result.location}: {result.reason}")
    for result in unexpected:
        print(f"FAILED {result.location} {result.name} ({result.status}): {result.reason}")
    for result in fixed:
        print(f"LISTED BUT PASSING {result.name}: remove it from KNOWN-RED.txt")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if unexpected or fixed or not passed else 0


def main() -> int:
    """Run all features, or the given ones, and return the exit code."""
    arguments = sys.argv[1:]
    if arguments and arguments[0].startswith(RESULTS_OPTION):
        return run_as_worker(Path(arguments[0].removeprefix(RESULTS_OPTION)), arguments[1:])
    # Ended in either way, a run ends its workers.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    listed = known_red()
    options, paths = _split(arguments)
    return report(run_in_parallel(options, paths), listed)


if __name__ == "__main__":
    sys.exit(main())
