"""Gives each scenario its own event loop and folder, and stops what the scenario started."""

import asyncio
import functools
import tempfile
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path

# Several times the longest wait of a step beside another run.
MAX_STEP_S = 600.0


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.stack = AsyncExitStack()
    context.temporary = tempfile.TemporaryDirectory(prefix="liftrill-test-")
    context.directory = Path(context.temporary.name)
    context.run = functools.partial(run_within, context.loop, MAX_STEP_S)


def after_scenario(context, scenario):
    with ExitStack() as ends:
        # In reverse order, and all of them, also if one fails.
        ends.callback(context.temporary.cleanup)
        ends.callback(context.loop.close)
        ends.callback(lambda: context.run(cancel_tasks()))
        ends.callback(lambda: context.run(context.stack.aclose()))


def run_within(loop, max_s, work):
    """Run a part of a step, and raise TimeoutError from the place where it waits too long."""

    async def run():
        async with asyncio.timeout(max_s) as limit:
            try:
                return await work
            except asyncio.CancelledError as error:
                if limit.expired():
                    raise TimeoutError(f"a step has not ended within {max_s} s") from error
                raise

    return loop.run_until_complete(run())


async def cancel_tasks():
    """Cancel tasks that a scenario left running, such as calls that wait for an answer."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
