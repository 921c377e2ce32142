"""Heavy load in a soak: slow engines, restarts, malformed records, bursts and slow callers."""

import asyncio
import random
import time
from contextlib import suppress

from features.soak.history import Call
from features.standin.deployment import HOST, prompt_headers

# Between two conditions, and how long one lasts.
SPACING_S = (0.3, 1.2)
LASTS_S = (0.6, 3.0)
RESTART_PAUSE_S = (0.0, 0.8)
SLOWDOWN = (2.5, 10.0)
BURST_CALLERS = 20
SLOW_CALLERS = (4, 16)
# The largest body that the stand-in's configuration allows.
LARGE_BODY = b"x" * 65_536
MALFORMED_RECORDS = (
    b"\xff\x00",
    b"[]",
    b'{"State": "ready"}',
    b'{"Service": 7, "Address": "127.0.0.1:1", "State": "ready", "Slots": true}',
)


class HardLoad:
    """Begins random conditions of heavy load; the draws depend on the seed alone."""

    def __init__(self, fleet, seed, call, calls):
        self._fleet = fleet
        self._random = random.Random(f"{seed}/hard load")
        self._call = call
        self._calls = calls
        self.counts = {}
        self._kinds = (
            self._restart_engine,
            self._write_malformed_record,
            self._slow_engine,
            self._burst,
            self._read_slowly,
        )

    async def run_for(self, seconds):
        """Begin conditions for some time, and wait until all have ended."""
        until = time.monotonic() + seconds
        begun = []
        while time.monotonic() < until:
            await asyncio.sleep(self._random.uniform(*SPACING_S))
            kind = self._random.choice(self._kinds)
            name = kind.__name__.lstrip("_")
            self.counts[name] = self.counts.get(name, 0) + 1
            begun.append(asyncio.ensure_future(kind(random.Random(self._random.random()))))
        await asyncio.gather(*begun)

    async def _restart_engine(self, draw):
        await self._fleet.restart_engine(
            draw.choice(self._fleet.engines()), draw.uniform(*RESTART_PAUSE_S)
        )

    async def _write_malformed_record(self, draw):
        engine = draw.choice(self._fleet.engines())
        key = f"servers/{engine.engine_id}"
        self._fleet.store.put(key, draw.choice(MALFORMED_RECORDS))
        await asyncio.sleep(draw.uniform(*LASTS_S))
        if self._fleet.deployment.engines.get(engine.engine_id) is engine:
            self._fleet.deployment.record(engine)

    async def _slow_engine(self, draw):
        engine = draw.choice(self._fleet.engines())
        usual_s = engine.event_seconds
        engine.event_seconds = usual_s * draw.uniform(*SLOWDOWN)
        await asyncio.sleep(draw.uniform(*LASTS_S))
        engine.event_seconds = usual_s

    async def _burst(self, draw):
        until = time.monotonic() + draw.uniform(*LASTS_S)

        async def call_on():
            while time.monotonic() < until:
                await self._call()

        await asyncio.gather(*(call_on() for _ in range(BURST_CALLERS)))

    async def _read_slowly(self, draw):
        """Send requests, some with a large or incomplete body, and read no responses."""
        running = self._fleet.running_nodes()
        if not running:
            return
        node = draw.choice(running)
        lasts_s = draw.uniform(*LASTS_S)
        count = draw.randint(*SLOW_CALLERS)
        await asyncio.gather(*(self._stall(node, lasts_s, draw) for _ in range(count)))

    async def _stall(self, node, lasts_s, draw):
        host, _, port = node.address("Front").rpartition(":")
        is_complete = draw.random() < 0.5
        body = LARGE_BODY if draw.random() < 0.5 else b"body"
        key = self._fleet.keys[-1]
        request_id = f"{self._random.getrandbits(64):016x}"
        with suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port), limit=1)
            now = time.monotonic()
            call = Call(request_id, "resume", key, now, None, b"", False, node.name, body, False)
            self._calls.append(call)
            writer.write(_head(request_id, key, body))
            writer.write(body if is_complete else body[: len(body) // 2])
            await asyncio.sleep(lasts_s)
            writer.transport.abort()


def _head(request_id, key, body):
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": "4000",
        "Authorization": f"Token {key}",
        "Content-Length": str(len(body)),
        **prompt_headers("model-1"),
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST /resume/x HTTP/1.1\r\n{lines}\r\n".encode()
