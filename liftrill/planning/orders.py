"""The orders that pool controllers send to engines."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AssignOrder:
    """An order to serve a pool, with its model and weights.

    An engine accepts the order only if it serves the expected pool and the fencing token of the
    controller for the authority is not older than one that it has seen. So a late order of a
    former controller, or one that arrives after a conflicting order, has no effect.

    Attributes:
        order_id: the identifier of the order, which is the same when it is sent again.
        authority: the pool whose lease authorizes the order.
        expected_pool: the pool that the engine must currently serve.
        pool: the pool to serve; equal to `expected_pool` if only the weights change.
    """

    order_id: str
    engine_id: str
    authority: str
    expected_pool: str
    pool: str
    model: str
    weight_version: str
