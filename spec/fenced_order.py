"""Model of fenced orders: a lease holder may be paused past its lease.

Two controllers take a lease in turn; each lease has a higher token than the one before.
A paused holder still believes in its lease and may send late. The engine refuses tokens
lower than the highest it has seen, and repeated order numbers change nothing.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

CONTROLLERS = 2
LEASES = 3
NOBODY = -1


@dataclass(frozen=True)
class OrderRules:
    """Which rules the model follows."""

    engine_checks_token: bool = True


@dataclass(frozen=True)
class Controller:
    """What a controller believes: its token, 0 for none; and orders in flight by token."""

    token: int = 0
    in_flight: frozenset = frozenset()


@dataclass(frozen=True)
class Engine:
    """The highest token seen, the token of the order in force, and whether one came late."""

    highest: int = 0
    in_force: int = 0
    overruled: bool = False


def order_model(rules: OrderRules) -> Protocol:
    """Return the model."""
    initial = (NOBODY, 0, tuple([Controller()] * CONTROLLERS), Engine())
    return Protocol(
        name="fenced order",
        candidate=False,
        fields=("holder", "last_token", "controllers", "engine"),
        initial=initial,
        transitions=lambda state: list(_steps(rules, *state)),
        invariants={"newer_orders_stay": lambda s: not s["engine"].overruled},
    )


def _steps(rules, holder, last_token, controllers, engine):
    if holder != NOBODY:
        yield "lease lapses", (NOBODY, last_token, controllers, engine)
    for number, controller in enumerate(controllers):
        if holder == NOBODY and last_token < LEASES:
            granted = _with(controllers, number, replace(controller, token=last_token + 1))
            yield f"{number} takes the lease", (number, last_token + 1, granted, engine)
        if controller.token and controller.token not in controller.in_flight:
            sent = replace(controller, in_flight=controller.in_flight | {controller.token})
            yield (
                f"{number} sends an order",
                (holder, last_token, _with(controllers, number, sent), engine),
            )
        for token in controller.in_flight:
            rest = replace(controller, in_flight=controller.in_flight - {token})
            accepted = not rules.engine_checks_token or token >= engine.highest
            after = _accept(engine, token) if accepted else engine
            # A refused holder learns that it lost its lease.
            told = rest if accepted else replace(rest, token=0)
            yield (
                f"order {token} of {number} arrives",
                (holder, last_token, _with(controllers, number, told), after),
            )


def _accept(engine, token):
    late = token < engine.in_force
    return Engine(max(engine.highest, token), token, engine.overruled or late)


def _with(controllers, number, controller):
    return (*controllers[:number], controller, *controllers[number + 1 :])
