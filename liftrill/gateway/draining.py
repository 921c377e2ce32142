"""Stops a gateway without failing the requests that its callers still send."""

import asyncio
from collections.abc import Callable

from liftrill import constants
from liftrill.gateway.caller_server import CallerServer
from liftrill.gateway.gateway import Gateway

# How long before the platform kills the process the remaining requests are abandoned.
STOP_MARGIN_SECONDS = 0.6


async def drain(gateway: Gateway, server: CallerServer, refuse_new: Callable[[], None]) -> None:
    """Leave the fleet, finish the requests that callers still send, and stop."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    deadline = started_at + gateway.settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
    gateway.leave()
    await gateway.resign()
    # Callers cache the addresses of nodes, and connect to this one until their copy is too old.
    await asyncio.sleep(constants.STOP_LINGER_SECONDS)
    refuse_new()
    await server.wait_until_idle(deadline - loop.time())
    await gateway.paths.finish(deadline - loop.time())
    await gateway.stop()
    # Last, because requests that arrive on open connections are answered until then.
    server.close_idle()
