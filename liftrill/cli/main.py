"""Entry point and subcommands of the `liftrill` command."""

import sys
from typing import Literal

import defopt

from liftrill.cli import bench, demo, emulate, errors, logs, node, operator
from liftrill.errors import LiftrillError, SettingsError

USAGE_EXIT_CODE = 2
FAILURE_EXIT_CODE = 1

COMMANDS = {
    "node": node.node,
    "intent": operator.intent,
    "plan": {
        "list": operator.plan_list,
        "show": operator.plan_show,
        "confirm": operator.plan_confirm,
        "discard": operator.plan_discard,
        "history": operator.plan_history,
    },
    "status": operator.status,
    "explain": operator.explain,
    "logs": {"explain": logs.explain, "summary": logs.summary},
    "demo": demo.demo,
    "bench": {
        "overhead": bench.overhead,
        "faults": bench.faults,
        "compare": bench.compare,
        "decision": bench.decision,
        "live": bench.live,
        "memory": bench.memory,
        "restart": bench.restart,
        "report": bench.report,
        "scale": bench.scale,
    },
    "emulate": {
        "engine": emulate.engine,
        "platform": emulate.platform,
        "kept-store": emulate.kept_store,
    },
    "errors": errors.errors,
}


def _flag_options(arguments: list[str]) -> Literal["all", "kwonly"]:
    """Return which parameters become flags: for `logs`, id and files are positional."""
    return "kwonly" if arguments[:1] == ["logs"] else "all"


def main() -> None:
    """Run the command line; exit with 2 on invalid usage or settings, 1 on a failure."""
    try:
        result = defopt.run(COMMANDS, cli_options=_flag_options(sys.argv[1:]), show_defaults=True)
    except SettingsError as error:
        print(f"liftrill: {error}", file=sys.stderr)
        sys.exit(USAGE_EXIT_CODE)
    except LiftrillError as error:
        print(f"liftrill: {error}", file=sys.stderr)
        sys.exit(FAILURE_EXIT_CODE)
    except KeyboardInterrupt:
        sys.exit(130)
    sys.exit(result or 0)
