"""Steps on test runs whose workers do not end by themselves."""

import asyncio
import os
import signal
import subprocess
import sys
import time
import traceback
from contextlib import suppress
from types import SimpleNamespace

import psutil
from behave import given, then, when

from features import environment
from features.run import ROOT
from features.standin.deployment import Deployment
from features.worker import WorkerProcesses

LEAVES_PROCESS = """
import subprocess, sys
print(subprocess.Popen([sys.executable, "-c", "import time; time.sleep({seconds})"]).pid)
"""
WAITS = """
import asyncio
from features.worker import end_after

async def wait_for_ever():
    await asyncio.Event().wait()

end_after({seconds})
asyncio.run(wait_for_ever())
"""
GETS_SIGNAL = "import os, signal; os.kill(os.getpid(), signal.{})"
LONG_STEP = """
import os, pathlib, subprocess, sys, time
from behave import given

@given("a long step")
def step(context):
    child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep({seconds})"])
    path = pathlib.Path({path!r})
    path.with_suffix(".new").write_text(f"{{os.getpid()}} {{child.pid}}")
    path.with_suffix(".new").rename(path)
    time.sleep({seconds})
"""
LONG_FEATURE = "Feature: f\n  Scenario: s\n    Given a long step\n"
LOOK_S = 0.1
EXIT_MARGIN_S = 2.0
# Ends a check whose guard does not work.
CONTROL_S = 60.0


def prepare(context, script, max_s=60.0):
    context.command = [sys.executable, "-c", script]
    context.workers = WorkerProcesses(max_s, EXIT_MARGIN_S)


@given("a worker that exits and leaves a process that would run for {seconds:g} s")
def step_leaves(context, seconds):
    prepare(context, LEAVES_PROCESS.format(seconds=seconds))


@given("a worker that waits for ever in a task, and may run for {seconds:g} s")
def step_waits(context, seconds):
    prepare(context, WAITS.format(seconds=seconds), seconds)


@given("a worker that is stopped, and may run for {seconds:g} s")
def step_stopped(context, seconds):
    prepare(context, GETS_SIGNAL.format("SIGSTOP"), seconds)


@given("a worker that is killed")
def step_killed(context):
    prepare(context, GETS_SIGNAL.format("SIGKILL"))


@when("it is run")
def step_run(context):
    output_path = context.directory / "output"
    began_at = time.monotonic()
    context.workers.run(context.command, ROOT, dict(os.environ), output_path)
    context.took_s = time.monotonic() - began_at
    context.output = output_path.read_text()


@then("the run has ended within {seconds:g} s")
def step_ended(context, seconds):
    assert context.took_s < seconds, (context.took_s, context.output)


@then("its output names the process, which has ended")
def step_left(context):
    pid, left = context.output.splitlines()
    assert left.startswith("left running: ") and "time.sleep" in left, context.output
    assert not psutil.pid_exists(int(pid)) or psutil.Process(int(pid)).status() == "zombie"


@then("its output shows where the task waits")
def step_shown(context):
    assert "not done within 1.0 s" in context.output, context.output
    assert "in wait_for_ever" in context.output, context.output


@then('its output shows "{text}"')
def step_output_shows(context, text):
    assert text in context.output.splitlines(), context.output


@given("a scenario whose steps may take {seconds:g} s")
def step_scenario(context, seconds):
    allowed_s, environment.MAX_STEP_S = environment.MAX_STEP_S, seconds
    context.stack.callback(setattr, environment, "MAX_STEP_S", allowed_s)
    context.scenario_context = SimpleNamespace()
    environment.before_scenario(context.scenario_context, None)


@when("a step of it waits for ever")
def step_step_waits(context):
    async def wait_for_ever():
        async with asyncio.timeout(CONTROL_S):
            await asyncio.Event().wait()

    began_at = time.monotonic()
    try:
        context.scenario_context.run(wait_for_ever())
    except TimeoutError:
        context.output = traceback.format_exc()
    finally:
        environment.after_scenario(context.scenario_context, None)
    context.took_s = time.monotonic() - began_at


@then("the step has failed within {seconds:g} s, and shows where it waits")
def step_step_failed(context, seconds):
    assert context.took_s < seconds, context.took_s
    assert "a step has not ended within 1.0 s" in context.output, context.output
    assert "in wait_for_ever" in context.output, context.output


@when("it leaves a task, and ending one of its processes fails")
def step_end_fails(context):
    def fail():
        raise OSError("it does not end")

    async def leave_task():
        return asyncio.ensure_future(asyncio.sleep(CONTROL_S))

    scenario_context = context.scenario_context
    context.left_task = scenario_context.run(leave_task())
    scenario_context.stack.callback(fail)
    try:
        environment.after_scenario(scenario_context, None)
    except OSError as error:
        context.error = error


@then("the failure is raised, and its task, its loop and its folder have ended")
def step_end_failed(context):
    assert "it does not end" in str(context.error)
    assert context.left_task.cancelled(), context.left_task
    assert context.scenario_context.loop.is_closed()
    assert not context.scenario_context.directory.exists()


@given("a deployment of {count:d} nodes, of which the second raises an error as it is ended")
def step_deployment(context, count):
    async def fail():
        raise OSError("it does not end")

    async def start():
        await context.deployment.__aenter__()
        for number in range(count):
            node = await context.deployment.add_node(f"node-{number + 1}")
            context.stack.push_async_callback(node.stop)
        context.deployment.nodes[1].stop = fail

    context.deployment = Deployment(context.directory)
    context.run(start())


@when("the deployment ends")
def step_deployment_ends(context):
    try:
        context.run(context.deployment.__aexit__())
    except OSError as error:
        context.error = error


@then("the error is raised, and the other nodes have ended")
def step_others_ended(context):
    assert "it does not end" in str(context.error)
    first, _, *others = context.deployment.nodes
    assert all(node.process.returncode is not None for node in (first, *others))


@given("a feature file that no worker can read")
def step_unreadable(context):
    context.command = [sys.executable, "-m", "features.run", str(context.directory / "a.feature")]


@when("the run ends")
def step_run_ends(context):
    context.done = subprocess.run(
        context.command, cwd=ROOT, capture_output=True, text=True, timeout=CONTROL_S
    )


@then("it has failed, and its last lines show why")
def step_run_failed(context):
    last = context.done.stdout.partition("FAILED")[2]
    assert context.done.returncode == 1, context.done
    assert "ended without results" in last and "No steps directory in" in last, context.done.stdout


@given("a feature file with a step that starts a process and takes {seconds:d} s")
def step_long(context, seconds):
    context.pids_path = context.directory / "pids"
    steps = context.directory / "steps"
    steps.mkdir()
    text = LONG_STEP.format(seconds=seconds, path=str(context.pids_path))
    (steps / "long_steps.py").write_text(text)
    (context.directory / "long.feature").write_text(LONG_FEATURE)


@when("its run gets {name} during that step")
def step_signal(context, name):
    command = [sys.executable, "-m", "features.run", str(context.directory / "long.feature")]
    run = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    context.stack.callback(end_all, [run.pid])
    wait_until(context.pids_path.exists)
    pids = [int(pid) for pid in context.pids_path.read_text().split()]
    context.stack.callback(end_all, pids)
    run.send_signal(signal.Signals[name])
    context.signalled_at = time.monotonic()
    context.left = [run.pid, *pids]


def end_all(pids):
    for pid in filter(is_running, pids):
        os.kill(pid, signal.SIGKILL)


def is_running(pid):
    with suppress(psutil.NoSuchProcess):
        return psutil.Process(pid).status() != psutil.STATUS_ZOMBIE
    return False


def wait_until(condition, seconds=CONTROL_S):
    until = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < until, f"condition not met within {seconds} s"
        time.sleep(LOOK_S)


@then("the run, its worker and that process have ended within {seconds:g} s")
def step_all_ended(context, seconds):
    left_s = context.signalled_at + seconds - time.monotonic()
    wait_until(lambda: not any(map(is_running, context.left)), left_s)
