"""Stops a gateway without failing the requests that its callers still send."""

import asyncio
from collections.abc import Callable

from liftrill import clock
from liftrill.gateway.caller_server import CallerServer
from liftrill.gateway.gateway import Gateway


async def drain(gateway: Gateway, server: CallerServer, refuse_new: Callable[[], None]) -> None:
    """Leave the fleet, finish the requests that callers still send, and stop.

    The stop schedule holds although the store, which is told of the resignation, does not answer.
    """
    schedule = gateway.stop_schedule
    gateway.leave()
    resignation = asyncio.ensure_future(gateway.resign())
    # Callers cache the addresses of nodes, and connect to this one until their copy is too old.
    await asyncio.sleep(schedule.refuse_at - clock.now_s())
    refuse_new()
    await server.wait_until_idle(schedule.abandon_at - clock.now_s())
    await gateway.paths.finish(schedule.abandon_at - clock.now_s())
    await _finish(resignation, gateway, schedule.abandon_at - clock.now_s())
    await gateway.stop()
    # Last, because requests that arrive on open connections are answered until then.
    server.close_idle()


async def _finish(resignation: asyncio.Future[None], gateway: Gateway, timeout_s: float) -> None:
    """Wait for the resignation, but no longer than a time; the lease then expires by itself."""
    done, _ = await asyncio.wait((resignation,), timeout=max(0.0, timeout_s))
    if not done:
        resignation.cancel()
        gateway.log.state_changed("resignation_abandoned")
    elif (error := resignation.exception()) is not None:
        gateway.log.state_changed("resignation_failed", reason=repr(error))
