"""Ends a gateway without failing what its callers still send."""

import asyncio
from abc import ABC, abstractmethod

from liftrill import constants
from liftrill.gateway.gateway import Gateway

STOP_MARGIN_SECONDS = 0.6


class CallerServers(ABC):
    """The servers that callers connect to."""

    @abstractmethod
    def refuse_new(self) -> None:
        """Open no more connections, and refuse what still comes on those that are open."""

    @abstractmethod
    async def wait_until_idle(self, longest_seconds: float) -> None:
        """Wait until no request is under way, or for a time at the most."""

    @abstractmethod
    async def close_idle(self) -> None:
        """Close the connections that callers keep open."""


async def drain(gateway: Gateway, servers: CallerServers) -> None:
    """Take no new callers, finish what callers still send, and end."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    last = began + gateway.settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
    gateway.leave()
    await gateway.resign()
    # Callers keep an answer of the directory for a while, and come here until it is old.
    await asyncio.sleep(constants.STOP_LINGER_SECONDS)
    servers.refuse_new()
    await servers.wait_until_idle(last - loop.time())
    await servers.close_idle()
    await gateway.stop()
