"""Steps on scripts of answers that are drawn, and played against a node."""

import asyncio
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from features.soak.found_plays import FOUND
from features.soak.response_fuzz import ResponseFuzz, play_again


@when("drawn scripts of answers are played for {seconds:g} s, with seed {seed:d}")
def step_fuzz(context, seconds, seed):
    context.fuzz = ResponseFuzz()

    async def run():
        # The fuzzer runs event loops of its own.
        loop = asyncio.get_running_loop()
        with ThreadPoolExecutor(1) as thread:
            await loop.run_in_executor(thread, context.fuzz.run, seed, seconds)

    context.run(run())


@then("no answer was wrong, in {count:d} plays or more")
def step_sound(context, count):
    for found in context.fuzz.found.values():
        print(found)
    print(f"{context.fuzz.played} plays")
    assert not context.fuzz.found
    assert context.fuzz.played >= count


@when('the script "{name}" is played {times:d} times')
def step_again(context, name, times):
    context.wrong_plays = context.run(play_again(FOUND[name], times))


@then("no answer of these was wrong")
def step_none_wrong(context):
    assert not context.wrong_plays, context.wrong_plays
