"""Ends a gateway without failing what its callers still send."""

import asyncio
from collections.abc import Callable

from liftrill import constants
from liftrill.gateway.caller_server import CallerServer
from liftrill.gateway.gateway import Gateway

# Before the platform kills the process what is still under way is given up.
STOP_MARGIN_SECONDS = 0.6


async def drain(gateway: Gateway, server: CallerServer, refuse_new: Callable[[], None]) -> None:
    """Take no new callers, finish what callers still send, and end."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    deadline = began + gateway.settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
    gateway.leave()
    await gateway.resign()
    # Callers keep an answer of the directory for a while, and come here until it is old.
    await asyncio.sleep(constants.STOP_LINGER_SECONDS)
    refuse_new()
    await server.wait_until_idle(deadline - loop.time())
    server.close_idle()
    await gateway.stop()
