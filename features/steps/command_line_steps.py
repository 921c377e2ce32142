"""Steps for commands, settings files and bench files."""

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path
from unittest.mock import patch

from behave import given, then, when

from features.run import port_ranges
from liftrill.bench.deployment import load_deployment
from liftrill.bench.launcher import (
    HOST,
    PORTS_VARIABLE,
    Cluster,
    LaunchError,
    ManagedProcess,
    free_ports,
)
from liftrill.bench.simulation.scenario import load_scenario
from liftrill.cli.errors import error_table
from liftrill.errors import SettingsError

VALID_SETTINGS = {
    "node_id": '"n"',
    "zone": '"z"',
    "listen": '"127.0.0.1:0"',
    "peer_listen": '"127.0.0.1:0"',
    "platform": '"http://127.0.0.1:1"',
    "operator_key": '"operator-key"',
    "shared_keys": '["shared"]',
    "cache_secret": '"0123456789abcdef"',
}
FAULTS = {
    "no fault": {},
    "an unknown key": {"colour": '"blue"'},
    "a wrong address": {"listen": '"nowhere"'},
    "a missing key": {"platform": None},
    "a wrong policy": {"policy": '"best"'},
    "text that is not TOML": {"zone": "= ="},
    "a negative grace period": {"drain_grace_seconds": "-1"},
}
# Ends a command that does not end by itself: the limit of a step ends only what it awaits.
MAX_COMMAND_S = 60.0
COMMANDS = (
    ["node"],
    ["intent"],
    ["plan", "list"],
    ["plan", "show"],
    ["plan", "confirm"],
    ["plan", "discard"],
    ["plan", "history"],
    ["status"],
    ["explain"],
    ["demo"],
    ["bench", "overhead"],
    ["bench", "faults"],
    ["bench", "compare"],
    ["bench", "decision"],
    ["bench", "scale"],
    ["bench", "live"],
    ["bench", "memory"],
    ["bench", "restart"],
    ["bench", "report"],
    ["emulate", "engine"],
    ["emulate", "platform"],
    ["emulate", "kept-store"],
    ["errors"],
)


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "liftrill", *arguments],
        capture_output=True,
        text=True,
        timeout=MAX_COMMAND_S,
    )


@given("a settings file with {fault}")
def step_settings(context, fault):
    values = {**VALID_SETTINGS, **FAULTS[fault]}
    lines = [f"{key} = {value}" for key, value in values.items() if value is not None]
    context.settings = context.directory / "node.toml"
    context.settings.write_text("\n".join(lines))


@when("the node is started with it")
def step_start_node(context):
    context.result = run("node", f"--settings={context.settings}")


@when("the node is started with it and {flag}")
def step_start_with_flag(context, flag):
    context.result = run("node", f"--settings={context.settings}", flag)


@then('it exits with code {code:d} and one error line that names "{named}"')
def step_exits_with_error(context, code, named):
    assert context.result.returncode == code, context.result
    lines = context.result.stderr.strip().splitlines()
    assert len(lines) == 1 and named in lines[0], lines


@then("the help of every command has a usage line and a sentence")
def step_help(context):
    for command in COMMANDS:
        result = run(*command, "--help")
        assert result.returncode == 0, result
        assert "usage: liftrill" in result.stdout, command
        assert ":param" not in result.stdout, command
        assert any(line.endswith(".") for line in result.stdout.splitlines()), command


@then("docs/ERRORS.md is what liftrill errors prints")
def step_error_table(context):
    assert Path("docs/ERRORS.md").read_text() == error_table(), "run `make errors`"


@then("a scenario file with an unknown key is refused with an error that names the key")
def step_unknown_key(context):
    text = Path("scenarios/quiet-day.toml").read_text()
    path = context.directory / "wrong.toml"
    path.write_text(text + "\nstorm = 3\n")
    try:
        load_scenario(str(path))
    except SettingsError as error:
        assert "storm" in str(error), error
    else:
        raise AssertionError("load_scenario accepted a file with an unknown key")


@then("every file under scenarios and deployments loads")
def step_all_load(context):
    scenarios = sorted(Path("scenarios").glob("*.toml"))
    deployments = sorted(Path("deployments").glob("*.toml"))
    assert scenarios and deployments
    for path in scenarios:
        load_scenario(str(path))
    for path in deployments:
        load_deployment(str(path))


@given("a log with a request that engines answered with status 500 twice")
def step_log(context):
    row = {
        "message_type": "liftrill:request",
        "timestamp": 1.0,
        "node": "a",
        "request": "r1",
        "outcome": "served",
        "status": 500,
        "engine": "e2",
        "attempts": 2,
    }
    context.log = context.directory / "node.log"
    context.log.write_text(json.dumps(row) + "\n")


@when('liftrill is run with "{arguments}"')
def step_run_liftrill(context, arguments):
    names = {
        "LOG": context.log,
        "MISSING": context.directory / "missing.log",
        "DIRECTORY": context.directory,
    }
    command_arguments = [str(names.get(word, word)) for word in arguments.split()]
    code = "import sys; from liftrill.cli.main import main; main()"
    command = [sys.executable, "-c", code, *command_arguments]
    context.result = subprocess.run(command, capture_output=True, text=True, timeout=MAX_COMMAND_S)


@then('it exits with {code:d} and prints "{output}"')
def step_exits_and_prints(context, code, output):
    printed = context.result.stdout + context.result.stderr
    assert context.result.returncode == code, context.result
    assert output in printed and "Traceback" not in printed, printed


@given("a server that listens at {host}")
def step_server(context, host):
    server = context.run(asyncio.start_server(lambda reader, writer: None, host, 0))
    context.stack.callback(server.close)
    context.port = server.sockets[0].getsockname()[1]


@when("a free port is asked for in a range that has its port alone")
def step_one_port(context):
    with patch.dict(os.environ, {PORTS_VARIABLE: f"{context.port}-{context.port}"}):
        try:
            context.found = free_ports(1)
        except LaunchError as error:
            context.found, context.error = [], error


@then("the launcher reports that no port is free")
def step_no_port(context):
    assert not context.found, context.found
    assert "only 0 of 1 ports are free" in str(context.error), context.error


@then('{workers:d} workers of a run with the ports {whole} use "{parts}"')
def step_port_ranges(context, workers, whole, parts):
    assert port_ranges(whole, workers) == parts.split(), port_ranges(whole, workers)


@given("a process that listens at another address than its own")
def step_elsewhere(context):
    ports = free_ports(2)
    arguments = ["emulate", "platform", f"--listen={HOST}:{ports[0]}"]
    log_path = context.directory / "platform.log"
    context.process = ManagedProcess("platform", arguments, f"{HOST}:{ports[1]}", log_path, {})
    context.process.start()
    context.stack.callback(context.process.stop)


@when("the launcher waits {seconds:g} s until it listens")
def step_wait_listening(context, seconds):
    cluster = Cluster(load_deployment("sahil"), context.directory)
    try:
        context.run(cluster.wait_listening(context.process, seconds))
    except LaunchError as error:
        context.error = error


@then("the error contains the stack of its main thread")
def step_stack(context):
    assert "most recent call first" in str(context.error), context.error


@then("the process has ended")
def step_process_ended(context):
    assert context.process.wait(0.0) is not None
