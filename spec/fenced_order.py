"""Model of fenced orders: a lease holder may be paused beyond the end of its lease.

Two controllers acquire a lease in turn; each lease has a higher token than the one before. A paused
holder still assumes that it has the lease, and may send orders late. The engine refuses tokens
lower than the highest it has seen; a repeated order changes nothing.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

CONTROLLERS = 2
LEASES = 3
NOBODY = -1


@dataclass(frozen=True)
class OrderRules:
    """The rules that the model follows."""

    engine_checks_token: bool = True


@dataclass(frozen=True)
class Controller:
    """A controller: the token of its assumed lease (0: none), and its orders in flight by token."""

    token: int = 0
    in_flight: frozenset = frozenset()


@dataclass(frozen=True)
class Engine:
    """The highest token seen, the current order's token, and whether an older order replaced it."""

    highest: int = 0
    current: int = 0
    overruled: bool = False


def order_model(rules: OrderRules) -> Protocol:
    """Return the model of fenced orders."""
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
        yield "lease expires", (NOBODY, last_token, controllers, engine)
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
            # A controller whose order is refused learns that it lost its lease.
            informed = rest if accepted else replace(rest, token=0)
            yield (
                f"order {token} of {number} arrives",
                (holder, last_token, _with(controllers, number, informed), after),
            )


def _accept(engine, token):
    late = token < engine.current
    return Engine(max(engine.highest, token), token, engine.overruled or late)


def _with(controllers, number, controller):
    return (*controllers[:number], controller, *controllers[number + 1 :])
