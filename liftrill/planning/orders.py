"""Orders from a pool's controller to engines."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AssignOrder:
    """Serve a pool: its model, with its weights.

    An engine takes it only from a controller whose fencing token for the authority is not
    older than one it has seen, and only while it serves the expected pool. So a late order
    of a former controller, or one that crossed another's, changes nothing.

    Attributes:
        order_id: the same for a repeated order.
        authority: the pool whose lease covers the order.
        expected_pool: the pool that the engine must be serving.
        pool: the pool that it shall serve; the same one for a change of weights alone.
    """

    order_id: str
    engine_id: str
    authority: str
    expected_pool: str
    pool: str
    model: str
    weight_version: str
