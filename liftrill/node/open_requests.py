"""Counts the requests in flight, so that a graceful shutdown can wait for them."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from liftrill.node.metrics import NodeMetrics


class OpenRequests:
    """The number of requests in flight."""

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self._none_open = asyncio.Event()
        self._none_open.set()
        self.count = 0

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request while the context manager is active."""
        self.count += 1
        self._none_open.clear()
        self._metrics.in_flight.inc()
        try:
            yield
        finally:
            self.count -= 1
            self._metrics.in_flight.dec()
            if self.count == 0:
                self._none_open.set()

    async def wait_until_none(self) -> None:
        """Wait until no request is in flight."""
        await self._none_open.wait()
