"""Engines of two software versions, and callers that leave streams and resume them elsewhere."""

import asyncio
import random

from features.soak.history import ONE_VERSION, RESUMED, Call, Violation
from features.standin.stream_callers import StreamCallers

VERSIONS = ("v1", "v2")
CALLERS = 5
MAX_LEAVES = 3


class MixedVersions(StreamCallers):
    """Draws the versions of engines, and calls streams that go on over several requests."""

    def __init__(self, seed):
        super().__init__(None, f"{seed}/resumptions")
        self._draw = random.Random(f"{seed}/versions")
        self._fleet = None
        self._calls = None

    def draw_version(self):
        return self._draw.choice(VERSIONS)

    def attach(self, fleet, calls):
        """Set the fleet to call, and the list to which the requests are added."""
        self._fleet, self.deployment, self._calls = fleet, fleet.deployment, calls

    async def run_for(self, seconds):
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds

        async def call_on():
            while loop.time() < until:
                leaves = self.random.randint(0, MAX_LEAVES)
                await self.stream(leaves=leaves, persistent=self.random.random() < 0.5)
                await asyncio.sleep(self.random.uniform(0.0, 0.1))

        await asyncio.gather(*(call_on() for _ in range(CALLERS)))

    def key(self):
        return self._fleet.keys[-1]

    def attempt_ended(self, attempt, key, route):
        self._calls.append(
            Call(
                attempt.request_id,
                RESUMED,
                key,
                attempt.at,
                attempt.status or None,
                b"",
                attempt.complete,
                attempt.node,
                b"body",
                attempt.connected,
            )
        )

    @property
    def counts(self):
        """A summary of the streams for the log of the soak."""
        resumed = [each for stream in self.streams for each in stream.resumptions]
        return {
            "streams": len(self.streams),
            "resumptions": len(resumed),
            "gone on": sum(each.events > 0 for each in resumed),
            "mixed": len(self.mixed()),
        }

    def check(self):
        """Return the streams that hold events of two versions."""
        for stream in self.mixed():
            detail = ", ".join(
                f"{a.request_id} at {a.node}: {a.engine_versions}" for a in stream.attempts
            )
            yield Violation(ONE_VERSION, stream.first_attempt_id, detail)
