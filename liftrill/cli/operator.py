"""`liftrill intent`, `plan`, `status` and `explain`: commands for operators."""

import getpass
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from liftrill.cli.operator_client import OperatorClient
from liftrill.errors import SettingsError
from liftrill.guarded_connection import new_session
from liftrill.settings_file import read_toml

DEFAULT_NODE = "127.0.0.1:8080"
OPERATOR_KEY_VARIABLE = "LIFTRILL_OPERATOR_KEY"


def intent(file: Path, *, node: str = DEFAULT_NODE, operator_key: str | None = None) -> None:
    """Submit an intent and print its plan; nothing changes until the plan is confirmed.

    :param file: TOML file with the intent
    :param node: HOST:PORT of a node
    :param operator_key: operator key; by default from LIFTRILL_OPERATOR_KEY
    """
    content = read_toml(file)
    _print_plan(_call(node, operator_key, lambda c: c.call("POST", "/intents", content)))


def plan_list(*, node: str = DEFAULT_NODE, operator_key: str | None = None) -> None:
    """List the unconfirmed plans of a node.

    :param node: HOST:PORT of a node
    :param operator_key: operator key; by default from LIFTRILL_OPERATOR_KEY
    """
    answer = _call(node, operator_key, lambda c: c.call("GET", "/plans"))
    for plan in answer["plans"]:
        print(f"{plan['plan_id']}  from generation {plan['base_generation']}")


def plan_show(plan_id: str, *, node: str = DEFAULT_NODE, operator_key: str | None = None) -> None:
    """Show a plan.

    :param plan_id: id of the plan
    :param node: HOST:PORT of the node that made it
    :param operator_key: operator key; by default from LIFTRILL_OPERATOR_KEY
    """
    _print_plan(_call(node, operator_key, lambda c: c.call("GET", f"/plans/{plan_id}")))


def plan_confirm(
    plan_id: str, *, node: str = DEFAULT_NODE, operator_key: str | None = None
) -> None:
    """Confirm a plan; a plan is confirmed at most once, so repeating the command is safe.

    :param plan_id: id of the plan
    :param node: HOST:PORT of the node that made it
    :param operator_key: operator key; by default from LIFTRILL_OPERATOR_KEY
    """
    path = f"/plans/{plan_id}/confirm"
    answer = _call(node, operator_key, lambda c: c.call("POST", path))
    print(f"confirmed {plan_id}: generation {answer['generation']}")


def plan_discard(
    plan_id: str, *, node: str = DEFAULT_NODE, operator_key: str | None = None
) -> None:
    """Discard a plan.

    :param plan_id: id of the plan
    :param node: HOST:PORT of the node that made it
    :param operator_key: operator key; by default from LIFTRILL_OPERATOR_KEY
    """
    _call(node, operator_key, lambda c: c.call("DELETE", f"/plans/{plan_id}"))
    print(f"discarded {plan_id}")


def plan_history(*, node: str = DEFAULT_NODE, operator_key: str | None = None) -> None:
    """List the confirmed plans and the operators who confirmed them.

    :param node: HOST:PORT of a node
    :param operator_key: operator key; by default from LIFTRILL_OPERATOR_KEY
    """
    answer = _call(node, operator_key, lambda c: c.call("GET", "/history"))
    for row in answer["confirmations"]:
        print(f"{row['generation']}  {row['plan_id']}  {row['operator']}  {row['summary']}")


def status(*, node: str = DEFAULT_NODE, operator_key: str | None = None) -> None:
    """Show a node, the configuration generation in force at each member, and the engines.

    :param node: HOST:PORT of a node
    :param operator_key: operator key; by default from LIFTRILL_OPERATOR_KEY
    """
    answer = _call(node, operator_key, lambda c: c.call("GET", "/status"))
    state = "ready" if answer["ready"] else f"not ready: {answer['reason']}"
    print(f"node {answer['node_id']} in {answer['zone']}: {state}")
    for member, generation in sorted(answer["members"].items()):
        print(f"member {member}: {'silent' if generation is None else f'generation {generation}'}")
    for engine in answer["engines"]:
        condition = "leaving" if engine["leaving"] else "serving"
        print(
            f"engine {engine['engine_id']} ({engine['pool']}, {engine['zone']}): {condition}, "
            f"weights {engine['weight_version'] or 'not known'}, load {engine['load']}"
        )


def explain(request_id: str, *, node: str = DEFAULT_NODE, operator_key: str | None = None) -> None:
    """Explain why each attempt of a request was sent to its engine.

    :param request_id: value of the answer's Liftrill-Request-Id header
    :param node: HOST:PORT of the node that served it
    :param operator_key: operator key; by default from LIFTRILL_OPERATOR_KEY
    """
    answer = _call(node, operator_key, lambda c: c.call("GET", f"/explain/{request_id}"))
    for attempt in answer["attempts"]:
        print(
            f"{attempt['engine_id']} by {attempt['policy']}: {attempt['shared_tokens']} shared "
            f"tokens, {attempt['believed_tokens']} believed cached, "
            f"{attempt['import_tokens']} to import"
        )
        costs = dict(attempt["costs"])
        for name, load in attempt["loads"]:
            print(f"  {name}: load {load}{_format_costs(costs.get(name))}")
        if attempt["excluded"]:
            print(f"  not asked again: {', '.join(attempt['excluded'])}")


def _call(
    node: str,
    operator_key: str | None,
    action: Callable[[OperatorClient], Awaitable[dict[str, Any]]],
) -> dict[str, Any]:
    key = operator_key or os.environ.get(OPERATOR_KEY_VARIABLE, "")
    if not key:
        raise SettingsError(
            f"flag --operator-key: missing; expected a key here or in {OPERATOR_KEY_VARIABLE}"
        )

    async def run() -> dict[str, Any]:
        async with new_session() as session:
            return await action(OperatorClient(session, node, key, getpass.getuser()))

    return uvloop.run(run())


def _format_costs(terms: dict[str, float] | None) -> str:
    if terms is None:
        return ""
    shown = ", ".join(f"{name} {1000 * seconds:.1f} ms" for name, seconds in terms.items())
    return f", {shown}"


def _print_plan(plan: dict[str, Any]) -> None:
    print(f"plan {plan['plan_id']} from generation {plan['base_generation']}")
    for change in plan["changes"] or ["nothing changes"]:
        print(f"  {change}")
    for consequence in plan["consequences"]:
        print(f"  ! {consequence}")
    print(f"confirm with: liftrill plan confirm {plan['plan_id']}")
