"""`liftrill emulate`: emulators of a model engine, the platform and the kept-KV store."""

import asyncio
import signal
from pathlib import Path

import uvloop
from aiohttp import web

from liftrill.emulator.engine_messages import Assignment, EngineParameters
from liftrill.emulator.engine_server import EngineServer
from liftrill.emulator.kept_store_server import KeptStoreServer
from liftrill.emulator.platform_server import PlatformServer

DEFAULTS = EngineParameters()


def engine(
    *,
    engine_id: str,
    listen: str,
    pool: str,
    model: str,
    weight_version: str,
    seed: int = 1,
    journal: Path | None = None,
    memory_blocks: int = DEFAULTS.memory_blocks,
    prefill_tokens_per_second: float = DEFAULTS.prefill_tokens_per_second,
    step_base_seconds: float = DEFAULTS.step_base_seconds,
    maximum_running: int = DEFAULTS.maximum_running,
    maximum_waiting: int = DEFAULTS.maximum_waiting,
    idle_eviction_seconds: float = DEFAULTS.idle_eviction_seconds,
    event_loss_share: float = DEFAULTS.event_loss_share,
    weight_store: str = "",
    kept_store: str = "",
) -> None:
    """Run an emulated model engine.

    :param engine_id: unique name of the engine
    :param listen: HOST:PORT
    :param pool: pool that the engine belongs to
    :param model: name of the model that the engine serves
    :param weight_version: version of the weights loaded at the start
    :param seed: seed of the random choices
    :param journal: file to which a JSON line is appended for each execution
    :param memory_blocks: prefix cache size in blocks
    :param prefill_tokens_per_second: prompt tokens computed per second
    :param step_base_seconds: minimum duration of a decoding step
    :param maximum_running: maximum batch size
    :param maximum_waiting: maximum queue length
    :param idle_eviction_seconds: cached blocks unused for this long are evicted
    :param event_loss_share: share of cache events that are lost
    :param weight_store: HOST:PORT of the platform's weight store; empty loads weights at once
    :param kept_store: HOST:PORT of the kept-KV store, or empty for none
    """
    parameters = EngineParameters(
        memory_blocks=memory_blocks,
        prefill_tokens_per_second=prefill_tokens_per_second,
        step_base_seconds=step_base_seconds,
        maximum_running=maximum_running,
        maximum_waiting=maximum_waiting,
        idle_eviction_seconds=idle_eviction_seconds,
        event_loss_share=event_loss_share,
    )
    server = EngineServer(
        engine_id,
        Assignment(pool, model, weight_version),
        parameters,
        seed,
        journal,
        weight_store,
        kept_store,
    )
    uvloop.run(_serve(server.application(), listen))


def platform(
    *,
    listen: str,
    requests_per_second: float = 200.0,
    machine_list_lag_seconds: float = 0.5,
    weight_load_seconds: float = 1.0,
) -> None:
    """Run the emulated platform: key-value store, machine list and weight store.

    :param listen: HOST:PORT
    :param requests_per_second: rate limit over all callers
    :param machine_list_lag_seconds: staleness of the served machine list
    :param weight_load_seconds: duration of sending weights to one engine
    """
    server = PlatformServer(requests_per_second, machine_list_lag_seconds, weight_load_seconds)
    uvloop.run(_serve(server.application(), listen))


def kept_store(*, listen: str, capacity_blocks: int = 100_000) -> None:
    """Run the emulated kept-KV store.

    :param listen: HOST:PORT
    :param capacity_blocks: capacity in blocks
    """
    uvloop.run(_serve(KeptStoreServer(capacity_blocks).application(), listen))


async def _serve(application: web.Application, listen: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    host, _, port = listen.rpartition(":")
    runner = web.AppRunner(
        application, handler_cancellation=True, access_log=None, shutdown_timeout=1.0
    )
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    await stop.wait()
    await runner.cleanup()
