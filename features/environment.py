"""Gives each scenario its own event loop and folder, and stops what the scenario started."""

import asyncio
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.stack = AsyncExitStack()
    context.temporary = tempfile.TemporaryDirectory(prefix="liftrill-test-")
    context.directory = Path(context.temporary.name)
    context.run = context.loop.run_until_complete


def after_scenario(context, scenario):
    context.run(context.stack.aclose())
    context.run(cancel_tasks())
    context.loop.close()
    context.temporary.cleanup()


async def cancel_tasks():
    """Cancel tasks that a scenario left running, such as calls that wait for an answer."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
