"""A randomized soak of the platform's program: real processes, faults from outside them.

    python -m features.soak.run --seeds 3 --seconds 40
    python -m features.soak.run --kept

Nodes are paused, killed, stopped and started by signals; their connections to the store
pass through a harmful proxy; the store and the engines misbehave; its watches hear nothing
and are cut, its open connections go silent, while engines leave and weights are named; keys
and routes change. What callers and engines saw is checked against the promises. Exits with 1
after a violation, and names the seed. Seeds that failed once are kept in `seeds.txt`, one a
line: seed, seconds, nodes, the modes in which it is played (see `Modes`), and the cause.
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

from features.soak.deadly import CrashRequestCallers, check_crash_requests, crash_times
from features.soak.engine_limits import EngineLimits, check_limits
from features.soak.engine_words import EngineAnnouncements, check_announcements
from features.soak.faults import FaultInjector
from features.soak.fleet import Fleet
from features.soak.hard_load import HardLoad
from features.soak.history import Bounds, Call, check, max_lateness
from features.soak.sleeps import MachineSleeps
from features.soak.store_returns import StoreRestores
from features.standin.deployment import HOST, ROOT, prompt_headers
from features.standin.earlier_build import extract_tree

NODES = 6
CALLERS = 12
CALL_TIMEOUT_S = 5.0
ROUTES = ("whole", "safe", "stream", "resume")
BODY = b"body"
# Of the calls, those with a key that was taken away (own choice).
OLD_KEY_SHARE = 0.2
SETTLE_S = 9.0
# The last landing.
EARLIER_BUILD = "3943703"
KEPT_PATH = Path(__file__).parent / "seeds.txt"
# As in the stand-in's settings: RevokeMs and VersionMs; DrainMs is the platform's.
BOUNDS = Bounds(revoke_s=5.0, drain_s=2.0, version_s=8.0)


@dataclass(frozen=True)
class Modes:
    """What comes up beside the faults.

    Attributes:
        deadly: callers repeat requests under which engines end.
        sleeps: machines are suspended, too.
        hard: uneven engines, restarts, bursts and slow callers.
        words: engines say in their answers that they leave, or want rest.
        limits: engines name limits for all nodes together.
        returns: the store comes back from older copies of itself.
        builds: each start of a node draws this build or that of `EARLIER_BUILD`.
    """

    deadly: bool = False
    sleeps: bool = False
    hard: bool = False
    words: bool = False
    limits: bool = False
    returns: bool = False
    builds: bool = False


MODES = tuple(field.name for field in fields(Modes))


class Soak:
    """One deployment under faults, and its history."""

    def __init__(self, seed, seconds, directory, nodes=NODES, modes=Modes(), earlier=EARLIER_BUILD):
        self._deadly = CrashRequestCallers(seed) if modes.deadly else None
        self._deadly_bodies = self._deadly.bodies() if modes.deadly else frozenset()
        self.builds = Counter()
        self._trees = [ROOT, extract_tree(earlier, directory)] if modes.builds else [ROOT]
        self._build_draw = random.Random(f"{seed}/builds")
        self.fleet = Fleet(
            directory, nodes, self._deadly_bodies, modes.sleeps, modes.hard, self._draw_root
        )
        if modes.builds:
            self.fleet.store.era = "1"
        self._sleeps = MachineSleeps(self.fleet, seed) if modes.sleeps else None
        self._injector = FaultInjector(self.fleet, seed)
        self.calls = []
        self.hard_load = HardLoad(self.fleet, seed, self._call, self.calls) if modes.hard else None
        self.announcements = EngineAnnouncements(self.fleet, seed) if modes.words else None
        self.limits = EngineLimits(self.fleet, seed) if modes.limits else None
        self.restores = StoreRestores(self.fleet, seed) if modes.returns else None
        self._seconds = seconds
        self._seed = seed
        self._random = random.Random(f"{seed}/calls")
        self._ids = itertools.count(1)
        self._over = False
        self._session = None

    async def run(self):
        """Play the soak and return its violations."""
        # Callers keep their connections open until a node closes them or is gone.
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=self._seconds)
        async with self.fleet.deployment, aiohttp.ClientSession(connector=connector) as session:
            self._session = session
            await self.fleet.start()
            callers = [asyncio.ensure_future(self._call_on()) for _ in range(CALLERS)]
            if self._deadly is not None:
                deadly = self._deadly.run(self._call_deadly, lambda: self._over)
                callers.append(asyncio.ensure_future(deadly))
            await asyncio.gather(*self._faults())
            await self.fleet.clear_faults()
            alive = await self._all_serve()
            self._over = True
            await asyncio.gather(*callers)
            await self.fleet.stop_retired()
            found = check(*self._history(), BOUNDS)
            found += check_announcements(*self._history())
            found += check_limits(*self._history())
            return [*found, *check_crash_requests(*self._history(), self._deadly_bodies)], alive

    def _draw_root(self):
        root = self._build_draw.choice(self._trees)
        self.builds["this" if root is ROOT else "earlier"] += 1
        return root

    def _faults(self):
        yield self._injector.inject_for(self._seconds)
        if self._sleeps is not None:
            yield self._sleeps.run_for(self._seconds)
        if self.hard_load is not None:
            yield self.hard_load.run_for(self._seconds)
        if self.announcements is not None:
            yield self.announcements.run_for(self._seconds)
        if self.limits is not None:
            yield self.limits.run_for(self._seconds)
        if self.restores is not None:
            yield self.restores.run_for(self._seconds)

    def parts(self):
        """Return what came up beside the faults, or None for what did not."""
        return self.hard_load, self.announcements, self.limits, self.restores

    def max_lateness(self):
        """Return the latest arrivals after leavings and namings."""
        return max_lateness(*self._history())

    def keep_logs(self, found):
        """Copy the nodes' logs, and what happened, to a place of their own; return it."""
        target = Path("reports") / f"soak-{self._seed}"
        target.mkdir(parents=True, exist_ok=True)
        for node in self.fleet.nodes:
            (target / node.log_path.name).write_bytes(node.log_path.read_bytes())
        lines = [*self.fleet.timeline.lines(), *map(str, found)]
        (target / "history.txt").write_text("\n".join(lines) + "\n")
        return target

    def _history(self):
        return self.calls, self.fleet.all_engines(), self.fleet.timeline

    # Callers

    async def _call_on(self):
        while not self._over:
            await self._call()
            await asyncio.sleep(self._random.uniform(0.02, 0.1))

    def ends(self):
        """Return how many engines ended under each deadly request."""
        engines = self.fleet.all_engines()
        return {body.decode(): len(crash_times(body, engines)) for body in self._deadly_bodies}

    async def _call(self):
        node = self._random.choice(self.fleet.nodes)
        route = self._random.choice(ROUTES)
        await self._call_at(node, route, self._key(), BODY if route != "safe" else b"")

    async def _call_deadly(self, route, body):
        node = self._random.choice(self.fleet.nodes)
        await self._call_at(node, route, self.fleet.keys[-1], body)

    async def _call_at(self, node, route, key, body):
        request_id = f"{self._seed:08x}{next(self._ids):08x}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "4000",
            "Authorization": f"Token {key}",
            **(prompt_headers("model-1") if route in ("stream", "resume") else {}),
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
        """Return a key in force, now and then one that was taken away."""
        revoked = list(self.fleet.timeline.revoked_at)
        is_old = revoked and self._random.random() < OLD_KEY_SHARE
        return self._random.choice(revoked if is_old else self.fleet.keys)

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

    # The end

    async def _all_serve(self):
        """Return whether every node serves again, in time."""

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


def play(seed, seconds, nodes=NODES, modes=Modes(), earlier=EARLIER_BUILD):
    """Play one seed; return its violations, and print what it did."""
    with tempfile.TemporaryDirectory(prefix="liftrill-soak-") as directory:
        soak = Soak(seed, seconds, Path(directory), nodes, modes, earlier)
        found, alive = asyncio.run(soak.run())
        served = sum(call.status == 200 and call.complete for call in soak.calls)
        print(
            f"seed {seed}: {len(soak.calls)} requests, {served} served, "
            f"{len(soak.fleet.timeline.faults)} faults, {len(found)} violations, "
            f"all nodes serve again: {alive}, {soak.max_lateness()}, ended under requests: {soak.ends()}"
            + (f", builds: {dict(soak.builds)}" if modes.builds else "")
            + "".join(f", {part.counts}" for part in soak.parts() if part),
            flush=True,
        )
        for guarantee, count in Counter(violation.guarantee for violation in found).items():
            first = next(violation for violation in found if violation.guarantee == guarantee)
            print(f"  {count} times: {first}")
        if found or not alive:
            print(f"  logs in {soak.keep_logs(found)}")
    return found, alive


def kept_plays():
    """Return seed, seconds, nodes and modes."""
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
    parser.add_argument("--nodes", type=int, default=NODES, help="12 at the most")
    parser.add_argument("--kept", action="store_true", help="play the seeds that failed once")
    parser.add_argument("--earlier", default=EARLIER_BUILD, help="commit of the earlier build")
    for mode in MODES:
        parser.add_argument(f"--{mode}", action="store_true", help="see `Modes`")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    modes = Modes(**{mode: getattr(options, mode) for mode in MODES})
    plays = [(seed, options.seconds, options.nodes, modes, options.earlier) for seed in seeds]
    results = [play(*one) for one in (kept_plays() if options.kept else plays)]
    return 0 if all(not found and alive for found, alive in results) else 1


if __name__ == "__main__":
    sys.exit(main())
