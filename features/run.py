"""Runs the features with behave and prints `N passed, N failed` from behave's own counts.

Files of features are dealt to processes that run beside each other, the longest first; a
process that ends without telling of its scenarios fails the run. Scenarios listed in
KNOWN-RED.txt (one a line: `scenario | cause | issue`, at most three) may fail without
failing the run; they are printed, and a listed scenario that passes fails the run, so that
the list cannot go stale.
"""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Runner

from liftrill.bench.launcher import PORTS_VARIABLE

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_PATH = ROOT / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3
# Half of the cores: many features run several processes and check times.
WORKERS = max(1, (os.cpu_count() or 1) // 2)
# Each worker's processes take ports of their own.
FIRST_PORT, PORTS_OF_A_WORKER = 10_000, 2_000
RESULTS_OPTION = "--results="
# Characters of a failed check that are told beside the scenario's name: its first lines.
LONGEST_REASON = 600
# The files that take longest, begun first: 340 to 50 s beside a load of 20 (measured).
LONGEST = (
    "promises",
    "quotas",
    "builds",
    "at_most_once",
    "command_line",
    "platform",
    "soak",
    "crash_requests",
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
    """How one scenario ended, and the step and check that failed."""

    name: str
    location: str
    status: str
    reason: str = ""


def known_red() -> dict[str, str]:
    """Return the listed scenarios and their lines."""
    if not KNOWN_RED_PATH.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED_PATH.read_text().splitlines()]
    rows = [line for line in lines if line and not line.startswith("#")]
    if len(rows) > KNOWN_RED_LIMIT:
        raise SystemExit(f"KNOWN-RED.txt lists {len(rows)} scenarios; {KNOWN_RED_LIMIT} at most")
    return {row.split("|")[0].strip(): row for row in rows}


def run_features(options: list[str], paths: list[str]) -> list[Result]:
    """Run features in this process and return how their scenarios ended."""
    configuration = Configuration(["--format=progress3", "--no-capture", *options, *paths])
    runner = Runner(configuration)
    runner.run()
    scenarios = [s for feature in runner.features for s in feature.walk_scenarios()]
    return [_result(scenario) for scenario in scenarios]


def _result(scenario: Scenario) -> Result:
    failed = [s for s in scenario.all_steps if s.error_message]
    reason = "".join(f"{s.name}: {s.error_message}"[:LONGEST_REASON] for s in failed[:1])
    return Result(scenario.name, str(scenario.location), scenario.status.name, reason)


def work(target: Path, arguments: list[str]) -> int:
    """Run features as one worker, and write how they ended."""
    options, paths = _split(arguments)
    results = run_features(options, paths)
    target.write_text(json.dumps([asdict(result) for result in results]))
    return 0


def run_beside(options: list[str], paths: list[str]) -> list[Result]:
    """Run each file in a process of its own, a few at a time."""
    ordered = sorted(paths, key=_place)
    slots = list(range(WORKERS))

    def run_one(path: str) -> list[Result]:
        slot = slots.pop()
        try:
            return _run_worker(slot, options, path)
        finally:
            slots.append(slot)

    with ThreadPoolExecutor(WORKERS) as pool:
        return [result for results in pool.map(run_one, ordered) for result in results]


def _place(path: str) -> int:
    name = Path(path).stem
    return LONGEST.index(name) if name in LONGEST else len(LONGEST)


def _run_worker(slot: int, options: list[str], path: str) -> list[Result]:
    first = FIRST_PORT + slot * PORTS_OF_A_WORKER
    ports = f"{first}-{first + PORTS_OF_A_WORKER - 1}"
    with tempfile.TemporaryDirectory(prefix="liftrill-results-") as directory:
        target = Path(directory) / "results.json"
        command = [sys.executable, "-m", "features.run", f"{RESULTS_OPTION}{target}"]
        done = subprocess.run(
            [*command, *options, path],
            cwd=ROOT,
            env={**os.environ, PORTS_VARIABLE: ports},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            check=False,
        )
        print(done.stdout, flush=True)
        if not target.exists():
            return [Result(f"the process that ran {path}", path, "ended without results")]
        return [Result(**row) for row in json.loads(target.read_text())]


def _split(arguments: list[str]) -> tuple[list[str], list[str]]:
    options = [a for a in arguments if a.startswith("-")]
    selected = [a for a in arguments if not a.startswith("-")]
    return options, selected or [str(p) for p in sorted((ROOT / "features").glob("*.feature"))]


def report(results: list[Result], listed: dict[str, str]) -> int:
    """Print how the run ended and return the exit code."""
    passed = [r for r in results if r.status == Status.passed.name]
    failed = [r for r in results if r.status not in (Status.passed.name, Status.skipped.name)]
    unexpected = [r for r in failed if r.name not in listed]
    mended = [r for r in passed if r.name in listed]
    for result in unexpected:
        print(f"FAILED {result.location} {result.name} ({result.status})")
        print(f"  {result.reason}")
    for row in listed.values():
        print(f"KNOWN RED {row}")
    for result in mended:
        print(f"LISTED BUT PASSING {result.name}: remove it from KNOWN-RED.txt")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if unexpected or mended or not passed else 0


def main() -> int:
    """Run everything and return the exit code."""
    arguments = sys.argv[1:]
    if arguments and arguments[0].startswith(RESULTS_OPTION):
        return work(Path(arguments[0].removeprefix(RESULTS_OPTION)), arguments[1:])
    listed = known_red()
    options, paths = _split(arguments)
    return report(run_beside(options, paths), listed)


if __name__ == "__main__":
    sys.exit(main())
