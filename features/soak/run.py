"""Randomized soak test of the platform's program: real processes under injected faults.

    python -m features.soak.run --seeds 3 --seconds 40
    python -m features.soak.run --kept

Nodes are paused, killed, stopped and started by signals. Their connections to the store pass
through a proxy that injects faults. The store and the engines misbehave: watches stall or are
cut and open connections go silent while engines leave and new weights are set. API keys and
routes change. What callers and engines saw is checked against the guarantees. Exits with 1
after a violation and prints the seed. Seeds that once failed are kept in `seeds.txt`, one a
line: seed, seconds, nodes, the modes of the run (see `Modes`), and the cause.
"""

import argparse
import asyncio
import itertools
import os
import random
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, fields
from pathlib import Path

import aiohttp

from features.soak.answer_ends import AnswerEnds
from features.soak.deadly import CrashRequestCallers, check_crash_requests, crash_times
from features.soak.engine_cuts import EngineCuts
from features.soak.engine_limits import EngineLimits, check_limits
from features.soak.engine_words import EngineAnnouncements, check_announcements
from features.soak.faults import FaultInjector
from features.soak.fleet import Fleet
from features.soak.hard_load import HardLoad
from features.soak.history import Bounds, Call, check, max_lateness
from features.soak.restarts import ENDS_WITHIN_S as RESTARTS_END_WITHIN_S
from features.soak.restarts import FleetRestarts
from features.soak.sleeps import MachineSleeps
from features.soak.software_versions import MixedVersions
from features.soak.store_returns import StoreRestores
from features.standin.deployment import HOST, ROOT, prompt_headers
from features.standin.earlier_build import extract_tree

NODES = 6
CALLERS = 12
CALL_TIMEOUT_S = 5.0
ROUTES = ("whole", "safe", "stream", "resume")
BODY = b"body"
# The share of calls with a revoked API key.
REVOKED_KEY_SHARE = 0.2
SETTLE_S = 9.0
# The earlier build that `--builds` mixes in by default: the commit that landed last.
EARLIER_BUILD = "3943703"
KEPT_PATH = Path(__file__).parent / "seeds.txt"
# Equal to RevokeMs and VersionMs in the stand-in's settings; DrainMs is the platform's.
BOUNDS = Bounds(revoke_s=5.0, drain_s=2.0, version_s=8.0)


@dataclass(frozen=True)
class Modes:
    """Optional conditions of a soak in addition to the faults.

    Attributes:
        deadly: callers repeat requests that crash engines.
        parts: callers send prompts with parts that crash engines, no two alike.
        sleeps: machines are suspended.
        hard: slow engines, engine restarts, malformed records, bursts and slow callers.
        words: engines announce in their answers that they leave or need a pause.
        limits: engines announce rate limits for all nodes together.
        returns: the store is restored from older copies.
        cuts: links between nodes and engines are cut.
        versions: engines have one of two software versions, and callers resume streams elsewhere.
        builds: each start of a node draws the current build or the earlier one.
        ends: engines in processes of their own end in several ways under answers.
        restarts: all nodes are killed at once amid releases of engines; not with `ends`.
    """

    deadly: bool = False
    parts: bool = False
    sleeps: bool = False
    hard: bool = False
    words: bool = False
    limits: bool = False
    returns: bool = False
    cuts: bool = False
    versions: bool = False
    builds: bool = False
    ends: bool = False
    restarts: bool = False


MODES = tuple(field.name for field in fields(Modes))


class Soak:
    """One deployment under faults, and the history of its requests."""

    def __init__(self, seed, seconds, directory, nodes=NODES, modes=Modes(), earlier=EARLIER_BUILD):
        self._crash_callers = CrashRequestCallers(seed, modes.deadly, modes.parts)
        self.builds = Counter()
        self._trees = [ROOT, extract_tree(earlier, directory)] if modes.builds else [ROOT]
        self._build_draw = random.Random(f"{seed}/builds")
        self.versions = MixedVersions(seed) if modes.versions else None
        self.fleet = Fleet(
            directory,
            nodes,
            self._crash_callers,
            modes.sleeps,
            modes.hard or (modes.ends and random.Random(f"{seed}/starts").random() < 0.5),
            self._draw_root,
            modes.cuts,
            self.versions.draw_version if self.versions else None,
        )
        if modes.builds:
            self.fleet.store.era = "1"
        self._sleeps = MachineSleeps(self.fleet, seed) if modes.sleeps else None
        self._injector = FaultInjector(self.fleet, seed)
        self.calls = []
        if self.versions is not None:
            self.versions.attach(self.fleet, self.calls)
        self.hard_load = HardLoad(self.fleet, seed, self._call, self.calls) if modes.hard else None
        self.announcements = EngineAnnouncements(self.fleet, seed) if modes.words else None
        self.limits = EngineLimits(self.fleet, seed) if modes.limits else None
        self.restores = StoreRestores(self.fleet, seed) if modes.returns else None
        self.cuts = EngineCuts(self.fleet, seed) if modes.cuts else None
        self.ends = AnswerEnds(self.fleet, seed, self.calls) if modes.ends else None
        self.fleet_restarts = (
            FleetRestarts(self.fleet, seed, self.calls) if modes.restarts else None
        )
        self._seconds = seconds
        self._seed = seed
        self._random = random.Random(f"{seed}/calls")
        self._ids = itertools.count(1)
        self._over = False
        self._session = None

    async def run(self):
        """Run the soak; return its violations and whether all nodes serve again."""
        # Callers keep their connections open until a node closes them or exits.
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=self._seconds)
        async with self.fleet.deployment, aiohttp.ClientSession(connector=connector) as session:
            self._session = session
            await self.fleet.start()
            callers = [asyncio.ensure_future(self._call_on()) for _ in range(CALLERS)]
            crash_calls = self._crash_callers.run(self._call_crash_request, lambda: self._over)
            callers.append(asyncio.ensure_future(crash_calls))
            await asyncio.gather(*self._conditions())
            await self.fleet.clear_faults()
            alive = await self._all_serve()
            self._over = True
            await asyncio.gather(*callers)
            await self.fleet.stop_retired()
            violations = check(*self._history(), BOUNDS)
            violations += check_announcements(*self._history())
            violations += check_limits(*self._history())
            violations += self.versions.check() if self.versions is not None else ()
            violations += self.ends.check() if self.ends is not None else ()
            if self.fleet_restarts is not None:
                violations += self.fleet_restarts.check()
            crash_requests = self._crash_callers.requests
            return [*violations, *check_crash_requests(*self._history(), crash_requests)], alive

    def _draw_root(self):
        root = self._build_draw.choice(self._trees)
        self.builds["this" if root is ROOT else "earlier"] += 1
        return root

    def _conditions(self):
        if self.fleet_restarts is None:
            yield self._injector.inject_for(self._seconds)
        elif self.fleet_restarts.has_other_faults:
            yield self._injector.inject_for(self._seconds, RESTARTS_END_WITHIN_S)
        for part in (self._sleeps, *self.parts()):
            if part is not None:
                yield part.run_for(self._seconds)

    def parts(self):
        """Return the optional conditions that count what they did; None for those that are off."""
        return (
            self.hard_load,
            self.announcements,
            self.limits,
            self.restores,
            self.cuts,
            self.versions,
            self.ends,
            self.fleet_restarts,
        )

    def max_lateness(self):
        """Return the greatest lateness of requests after departures and weight changes."""
        return max_lateness(*self._history())

    def keep_logs(self, violations):
        """Copy the nodes' logs and the timeline to a folder under reports/ and return it."""
        target = Path("reports") / f"soak-{self._seed}"
        target.mkdir(parents=True, exist_ok=True)
        for node in self.fleet.nodes:
            (target / node.log_path.name).write_bytes(node.log_path.read_bytes())
        lines = [*self.fleet.timeline.lines(), *map(str, violations)]
        (target / "history.txt").write_text("\n".join(lines) + "\n")
        return target

    def _history(self):
        return self.calls, self.fleet.all_engines(), self.fleet.timeline

    # Callers

    async def _call_on(self):
        while not self._over:
            await self._call()
            await asyncio.sleep(self._random.uniform(0.02, 0.1))

    def crash_counts(self):
        """Return how many engines crashed on each crash request."""
        engines = self.fleet.all_engines()
        requests = self._crash_callers.requests
        return {r.body.decode(): len(crash_times(r, engines)) for r in requests}

    async def _call(self):
        node = self._random.choice(self.fleet.nodes)
        route = self._random.choice(ROUTES)
        await self._call_at(node, route, self._key(), BODY if route != "safe" else b"")

    async def _call_crash_request(self, route, body, prompt):
        node = self._random.choice(self.fleet.nodes)
        await self._call_at(node, route, self.fleet.keys[-1], body, prompt)

    async def _call_at(self, node, route, key, body, prompt=None):
        request_id = f"{self._seed:08x}{next(self._ids):08x}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "4000",
            "Authorization": f"Token {key}",
            **(prompt_headers("model-1") if route in ("stream", "resume") else {}),
            **(prompt or {}),
        }
        sent_at = time.monotonic()
        status, answer, complete, waited = await self._send(node, route, headers, body)
        self.calls.append(
            Call(
                request_id,
                route,
                key,
                sent_at,
                status,
                answer,
                complete,
                node.name,
                body,
                waited,
            )
        )

    def _key(self):
        """Return a valid API key, or sometimes a revoked one."""
        revoked = list(self.fleet.timeline.revoked_at)
        use_revoked = revoked and self._random.random() < REVOKED_KEY_SHARE
        return self._random.choice(revoked if use_revoked else self.fleet.keys)

    async def _send(self, node, route, headers, sent_body=b""):
        method = "POST" if sent_body else "GET"
        url = f"http://{node.address('Front')}/{route}/x"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        body = b""
        status = None
        try:
            async with self._session.request(
                method,
                url,
                headers=headers,
                data=sent_body or None,
                timeout=timeout,
            ) as answer:
                status = answer.status
                async for data in answer.content.iter_any():
                    body += data
                return status, body, True, True
        except aiohttp.ClientConnectorError:
            return None, b"", False, False
        except (aiohttp.ClientError, OSError, TimeoutError):
            return status, body, False, True

    # End of the soak

    async def _all_serve(self):
        """Return whether every node serves requests again within `SETTLE_S`."""

        async def serve():
            for node in self.fleet.nodes:
                headers = {
                    "Host": HOST,
                    "X-Attempt-Id": f"f{self._seed:07x}{next(self._ids):08x}",
                    "X-Deadline-Ms": "4000",
                    "Authorization": f"Token {self.fleet.keys[-1]}",
                }
                self.calls.append(
                    Call(
                        headers["X-Attempt-Id"],
                        "safe",
                        self.fleet.keys[-1],
                        time.monotonic(),
                        None,
                        b"",
                        False,
                        node.name,
                    )
                )
                status, _, _, _ = await self._send(node, "safe", headers)
                if status != 200:
                    return False
            return True

        try:
            return await self.fleet.deployment.wait_until(serve, SETTLE_S)
        except AssertionError:
            return False


def run_seed(seed, seconds, nodes=NODES, modes=Modes(), earlier=EARLIER_BUILD):
    """Run one seed and print its summary; return its violations and whether all nodes serve."""
    with tempfile.TemporaryDirectory(prefix="liftrill-soak-") as directory:
        soak = Soak(seed, seconds, Path(directory), nodes, modes, earlier)
        violations, alive = asyncio.run(soak.run())
        served = sum(call.status == 200 and call.complete for call in soak.calls)
        print(
            f"seed {seed}: {len(soak.calls)} requests, {served} served, "
            f"{len(soak.fleet.timeline.faults)} faults, {len(violations)} violations, "
            f"all nodes serve again: {alive}, {soak.max_lateness()}, "
            f"engines crashed on requests: {soak.crash_counts()}"
            + (f", builds: {dict(soak.builds)}" if modes.builds else "")
            + "".join(f", {part.counts}" for part in soak.parts() if part),
            flush=True,
        )
        for guarantee, count in Counter(v.guarantee for v in violations).items():
            first = next(v for v in violations if v.guarantee == guarantee)
            print(f"  {count} times: {first}")
        if violations or not alive:
            print(f"  logs in {soak.keep_logs(violations)}")
    return violations, alive


def kept_runs():
    """Return the seed, seconds, nodes and modes of each seed in `seeds.txt`."""
    lines = KEPT_PATH.read_text().splitlines()
    rows = [line.partition("|")[0].split() for line in lines if not line.startswith("#")]
    return [
        (int(seed), float(seconds), int(nodes), Modes(**dict.fromkeys(more, True)))
        for seed, seconds, nodes, *more in rows
    ]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=int.from_bytes(os.urandom(3), "big"))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--nodes", type=int, default=NODES, help="at most 12")
    parser.add_argument("--kept", action="store_true", help="run the seeds that once failed")
    parser.add_argument("--earlier", default=EARLIER_BUILD, help="commit of the earlier build")
    for mode in MODES:
        parser.add_argument(f"--{mode}", action="store_true", help="see `Modes`")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    modes = Modes(**{mode: getattr(options, mode) for mode in MODES})
    runs = [(seed, options.seconds, options.nodes, modes, options.earlier) for seed in seeds]
    results = [run_seed(*run) for run in (kept_runs() if options.kept else runs)]
    return 0 if all(not violations and alive for violations, alive in results) else 1


if __name__ == "__main__":
    sys.exit(main())
