"""A stand-in engine with few places, which falls over if it rejects too many requests."""

import asyncio
import time
from dataclasses import dataclass, field

from features.standin.engine import StandInEngine


@dataclass
class BrittleEngine(StandInEngine):
    """An engine that processes `slots` requests at a time, and lets `room` others wait.

    Attributes:
        service_s: how long it processes a request.
        brittle: rejections a second that it survives, as its answers say, or None.
        can_fall: whether more rejections make it fall over.
        down_s: how long it is away after it fell over.
        falls: when it fell over.
        work: the number of requests that it completed.
    """

    service_s: float = 0.1
    room: int = 3
    brittle: int | None = None
    can_fall: bool = False
    down_s: float = 3.0
    on_back: object = None
    falls: list = field(default_factory=list)
    rejected_at: list = field(default_factory=list)
    work: int = 0

    def __post_init__(self):
        super().__post_init__()
        self._places = asyncio.Semaphore(self.slots)
        self._present = 0
        self._life = 0

    def _announcements(self, answer):
        said = {"Server-Brittle": str(self.brittle)} if self.brittle is not None else {}
        return super()._announcements(answer) | said

    async def _serve(self, request, arrival):
        if self._present >= self.slots + self.room:
            arrival.refused = True
            self._reject()
            return self._shed(arrival.attempt_id)
        self._present += 1
        life = self._life
        try:
            async with self._places:
                await asyncio.sleep(self.service_s)
                answer = await super()._serve(request, arrival)
                self.work += 1
                return answer
        finally:
            if life == self._life:
                self._present -= 1

    def _reject(self):
        now = time.monotonic()
        self.rejected_at.append(now)
        recent = [at for at in self.rejected_at if now - at < 1.0]
        if self.can_fall and not self.crashed.is_set() and len(recent) > self.brittle:
            self.rejected_at.clear()
            self.falls.append(now)
            self._falling = asyncio.ensure_future(self._fall())

    async def _fall(self):
        port = int(self.address.rpartition(":")[2])
        await self.crash()
        await asyncio.sleep(self.down_s)
        await self.stop()
        self.crashed.clear()
        self._life += 1
        self._present = 0
        self._places = asyncio.Semaphore(self.slots)
        former = self.engine_id
        self.engine_id = f"{former.partition('.')[0]}.{self._life}"
        await self.start(port)
        self.on_back(self, former)
