"""A randomized soak of the platform's program: real processes, faults from outside them.

    python -m features.soak.run --seeds 3 --seconds 40

Nodes are paused, killed, stopped and started by signals; their connections to the store
pass through a harmful proxy; the store and the engines misbehave; weights, keys and routes
change. What callers and engines saw is checked against the promises. Exits with 1 after a
violation, and names the seed.
"""

import argparse
import asyncio
import itertools
import os
import random
import signal
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

import aiohttp

from features.soak.history import Bounds, Call, check
from features.soak.proxy import Harm, HarmfulProxy
from features.soak.timeline import Timeline
from features.standin.deployment import HOST, Deployment, prompt_headers

NODES = 6
DESK_ENGINES = 3
MODEL_ENGINES = 4
CALLERS = 12
CALL_TIMEOUT_S = 5.0
ENGINE_FAULTS = (
    "shed",
    "close",
    "crossed",
    "extra",
    "extra_late",
    "reset_unframed",
    "torn",
    "fail",
)
ROUTES = ("whole", "safe", "stream", "resume")
SETTLE_S = 9.0
# As in the stand-in's settings: RevokeMs and VersionMs; DrainMs is the platform's.
BOUNDS = Bounds(revoke_s=5.0, drain_s=2.0, version_s=8.0)


class Soak:
    """One deployment under faults, and its history."""

    def __init__(self, seed, seconds, directory):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.deployment = Deployment(directory)
        self.calls = []
        self.timeline = Timeline()
        self.keys = ["key-0"]
        self.version = 5
        self.weights = 1
        self.proxies = {}
        self.retired = []
        self.faults = []
        self._ids = itertools.count(1)
        self._engine_numbers = itertools.count(1)
        self._key_numbers = itertools.count(1)
        self._seed = seed
        self._over = False

    async def run(self):
        """Play the soak and return its violations."""
        async with self.deployment:
            await self._start()
            callers = [asyncio.ensure_future(self._call_on()) for _ in range(CALLERS)]
            await self._harm_for(self.seconds)
            await self._heal()
            alive = await self._all_serve()
            self._over = True
            await asyncio.gather(*callers)
            engines = [*self.deployment.engines.values(), *self.retired]
            found = check(self.calls, engines, self.timeline, BOUNDS)
            return found, alive

    async def _start(self):
        deployment = self.deployment
        for _ in range(DESK_ENGINES):
            await self._new_engine("desk")
        for _ in range(MODEL_ENGINES):
            await self._new_engine("llm")
        self._configure()
        for number in range(NODES):
            node = await deployment.add_node(f"node-{number + 1}")
            await deployment.ready(node)
            await self._put_proxy_before_store(node)

    async def _put_proxy_before_store(self, node):
        """Let a node that is started again reach the store through a proxy."""
        port = self.deployment.store.port + 1
        proxy = HarmfulProxy(f"{node.ip}:{port}", self.deployment.store.address_for(node.ip))
        with suppress(OSError):
            await proxy.start()
            self.proxies[node.name] = proxy
            others = [n for n in self.deployment.nodes if n is not node][:3]
            node.write_settings(proxy.address, others, self.deployment.bounds, False)
            await node.stop()
            await node.start()
            await self.deployment.ready(node)

    async def _new_engine(self, service):
        number = next(self._engine_numbers)
        options = {"weights": {"model-1": self.weights}} if service == "llm" else {}
        return await self.deployment.add_engine(f"{service}-{number}", service, **options)

    def _configure(self):
        self.version += 1
        self.deployment.configure(self.version, keys=tuple(self.keys), backups=True)

    # Callers

    async def _call_on(self):
        while not self._over:
            await self._call()
            await asyncio.sleep(self.random.uniform(0.02, 0.1))

    async def _call(self):
        node = self.random.choice(self.deployment.nodes)
        route = self.random.choice(ROUTES)
        # Now and then a key is used that may have been taken away.
        key = self.random.choice([self.keys[-1], *self.keys, *self.timeline.revoked_at])
        request_id = f"{self._seed:08x}{next(self._ids):08x}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "4000",
            "Authorization": f"Token {key}",
            **(prompt_headers("model-1") if route in ("stream", "resume") else {}),
        }
        sent_at = time.monotonic()
        status, body, complete = await self._send(node, route, headers)
        self.calls.append(Call(request_id, route, key, sent_at, status, body, complete, node.name))

    async def _send(self, node, route, headers):
        method = "GET" if route == "safe" else "POST"
        url = f"http://{node.address('Front')}/{route}/x"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        body = b""
        status = None
        try:
            async with self.deployment.session.request(
                method,
                url,
                headers=headers,
                data=b"body" if method == "POST" else None,
                timeout=timeout,
            ) as answer:
                status = answer.status
                async for data in answer.content.iter_any():
                    body += data
                return status, body, True
        except (aiohttp.ClientError, OSError, TimeoutError):
            return status, body, False

    # Faults

    async def _harm_for(self, seconds):
        until = time.monotonic() + seconds
        kinds = (
            self._pause_node,
            self._kill_node,
            self._stop_node,
            self._harm_store,
            self._refuse_node,
            self._forget,
            self._lose_writes,
            self._harm_link,
            self._harm_engine,
            self._crash_engine,
            self._drain_engine,
            self._name_weights,
            self._revoke,
            self._reconfigure,
        )
        tasks = set()
        while time.monotonic() < until:
            kind = self.random.choice(kinds)
            self.faults.append(kind.__name__)
            task = asyncio.ensure_future(kind())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.random.uniform(0.3, 1.2))
        if tasks:
            await asyncio.wait(tasks, timeout=12.0)

    def _a_node(self):
        running = [n for n in self.deployment.nodes if n.process.returncode is None]
        return self.random.choice(running) if running else None

    async def _pause_node(self):
        node = self._a_node()
        if node is None:
            return
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 6.0))
        with suppress(ProcessLookupError):
            node.signal(signal.SIGCONT)

    async def _kill_node(self):
        node = self._a_node()
        if node is not None:
            await node.stop()
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            await self._start_node(node)

    async def _stop_node(self):
        node = self._a_node()
        if node is None:
            return
        node.signal(signal.SIGTERM)
        with suppress(TimeoutError):
            await asyncio.wait_for(node.process.wait(), 9.0)
        await node.stop()
        await self._start_node(node)

    async def _start_node(self, node):
        if node.process.returncode is not None:
            await node.start()

    async def _harm_store(self):
        store = self.deployment.store
        store.fault = self.random.choice(("down", "silent", "reset"))
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        store.fault = ""

    async def _refuse_node(self):
        ip = self.random.choice(self.deployment.nodes).ip
        self.deployment.store.refused_callers.add(ip)
        await asyncio.sleep(self.random.uniform(1.0, 7.0))
        self.deployment.store.refused_callers.discard(ip)

    async def _forget(self):
        self.deployment.store.forget_history()

    async def _lose_writes(self):
        self.deployment.store.lose_writes = 3

    async def _harm_link(self):
        proxy = self.random.choice(list(self.proxies.values()))
        proxy.harm = self.random.choice([h for h in Harm if h is not Harm.NONE])
        await asyncio.sleep(self.random.uniform(0.5, 6.0))
        proxy.harm = Harm.NONE

    async def _harm_engine(self):
        engine = self.random.choice(list(self.deployment.engines.values()))
        engine.fault = self.random.choice(ENGINE_FAULTS)
        engine.fault_count = self.random.randrange(1, 4)

    async def _crash_engine(self):
        name = self.random.choice(list(self.deployment.engines))
        engine = self.deployment.engines.pop(name)
        self.retired.append(engine)
        await engine.stop()
        await self._new_engine(engine.service)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        self.deployment.store.remove(f"servers/{engine.engine_id}")

    async def _drain_engine(self):
        name = self.random.choice(list(self.deployment.engines))
        engine = self.deployment.engines.pop(name)
        self.retired.append(engine)
        await self._new_engine(engine.service)
        self.deployment.record(engine, "draining")
        await asyncio.sleep(3.0)
        self.deployment.store.remove(f"servers/{engine.engine_id}")
        await engine.stop()

    async def _name_weights(self):
        self.weights += 1
        self.deployment.name_weights(self.weights)

    async def _revoke(self):
        old = self.keys[0]
        self.keys = [f"key-{next(self._key_numbers)}"]
        self._configure()
        self.timeline.revoked_at[old] = time.monotonic()

    async def _reconfigure(self):
        self._configure()

    # The end

    async def _heal(self):
        store = self.deployment.store
        store.fault, store.lose_writes = "", 0
        store.refused_callers.clear()
        for proxy in self.proxies.values():
            proxy.harm = Harm.NONE
        for engine in self.deployment.engines.values():
            engine.fault = ""
        for node in self.deployment.nodes:
            with suppress(ProcessLookupError):
                node.signal(signal.SIGCONT)
            await self._start_node(node)

    async def _all_serve(self):
        """Return whether every node serves again, in time."""

        async def serve():
            for node in self.deployment.nodes:
                headers = {
                    "Host": HOST,
                    "X-Attempt-Id": f"f{self._seed:07x}{next(self._ids):08x}",
                    "X-Deadline-Ms": "4000",
                    "Authorization": f"Token {self.keys[-1]}",
                }
                self.calls.append(
                    Call(
                        headers["X-Attempt-Id"],
                        "safe",
                        self.keys[-1],
                        time.monotonic(),
                        None,
                        b"",
                        False,
                    )
                )
                status, _, _ = await self._send(node, "safe", headers)
                if status != 200:
                    return False
            return True

        try:
            return await self.deployment.wait_until(serve, SETTLE_S)
        except AssertionError:
            return False


def play(seed, seconds):
    """Play one seed; return its violations, and print what it did."""
    with tempfile.TemporaryDirectory(prefix="liftrill-soak-") as directory:
        soak = Soak(seed, seconds, Path(directory))
        found, alive = asyncio.run(soak.run())
        served = sum(call.status == 200 and call.complete for call in soak.calls)
        print(
            f"seed {seed}: {len(soak.calls)} requests, {served} served, "
            f"{len(soak.faults)} faults, {len(found)} violations, all nodes serve again: {alive}",
            flush=True,
        )
        for violation in found[:10]:
            print(f"  {violation}")
        if found or not alive:
            _keep_logs(seed, Path(directory))
    return found, alive


def _keep_logs(seed, directory):
    target = Path("reports") / f"soak-{seed}"
    target.mkdir(parents=True, exist_ok=True)
    for log in directory.glob("*.log"):
        (target / log.name).write_bytes(log.read_bytes())
    print(f"  logs in {target}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=int.from_bytes(os.urandom(3), "big"))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    results = [play(options.seed + n, options.seconds) for n in range(options.seeds)]
    return 0 if all(not found and alive for found, alive in results) else 1


if __name__ == "__main__":
    sys.exit(main())
