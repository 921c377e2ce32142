"""How a node passes a request to an engine by a peer.

The request is the one that the engine is to receive, with headers that name the engine and tell
whether the request may be sent again. The peer removes them, sends the request to that engine only,
and returns the engine's response as it comes. A request that the peer did not send gets a response
with an outcome; if the peer loses the engine after sending it, it closes the connection. So there
is one hop, and the node that read the request from its caller makes all decisions about it.
"""

from enum import Enum

from multidict import MultiMapping

from liftrill.gateway.delivery_events import EngineAddress, RefusalKind, StartAttempt

ENGINE_HEADER = "Liftrill-Engine"
ADDRESS_HEADER = "Liftrill-Engine-Address"
REPEATABLE_HEADER = "Liftrill-Repeatable"
OUTCOME_HEADER = "Liftrill-Proxy-Outcome"
PROXY_HEADERS = frozenset(
    name.lower() for name in (ENGINE_HEADER, ADDRESS_HEADER, REPEATABLE_HEADER, OUTCOME_HEADER)
)
REPEATABLE, NOT_REPEATABLE = "1", "0"


class ProxyOutcome(Enum):
    """Why a peer did not send a request."""

    ENGINE_UNREACHABLE = "engine-unreachable"
    WITHDRAWN = "withdrawn"
    UNAVAILABLE = "unavailable"


REFUSAL_KINDS = {
    ProxyOutcome.ENGINE_UNREACHABLE.value: RefusalKind.UNREACHABLE,
    ProxyOutcome.WITHDRAWN.value: RefusalKind.WITHDRAWN,
}


def proxy_headers(start: StartAttempt) -> list[tuple[str, str]]:
    """Return the headers of a request to a peer for it, or none if there is no peer."""
    choice = start.choice
    if choice.proxy is None:
        return []
    return [
        (ENGINE_HEADER, choice.engine_id),
        (ADDRESS_HEADER, choice.address),
        (REPEATABLE_HEADER, REPEATABLE if start.may_run_anew else NOT_REPEATABLE),
    ]


def is_repeatable(headers: MultiMapping[str]) -> bool:
    """Return whether a peer's request may be sent again; those of earlier builds do not tell."""
    # The caller's headers come first, and may have the same names.
    return headers.getall(REPEATABLE_HEADER, [NOT_REPEATABLE])[-1] == REPEATABLE


def requested_engine(headers: MultiMapping[str]) -> EngineAddress | None:
    """Return the engine that a peer's request names, or None."""
    # The caller's headers come first, and may have the same names.
    engine_ids = headers.getall(ENGINE_HEADER, [])
    addresses = headers.getall(ADDRESS_HEADER, [])
    if not engine_ids or not addresses:
        return None
    return EngineAddress(engine_ids[-1], addresses[-1])


def refusal_kind(headers: MultiMapping[str]) -> RefusalKind | None:
    """Return why a peer did not send a request, or None if the response is the engine's."""
    outcome = headers.get(OUTCOME_HEADER)
    if outcome is None:
        return None
    return REFUSAL_KINDS.get(outcome, RefusalKind.PROXY_UNAVAILABLE)
