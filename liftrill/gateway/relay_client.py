"""Follows another node's mirror of the store over a web socket."""

import asyncio
import itertools
from abc import ABC, abstractmethod
from contextlib import suppress
from dataclasses import dataclass

import aiohttp

from liftrill import clock, constants
from liftrill.coordination.range_store import WatchBatch
from liftrill.coordination.store_position import era_of, revision_of
from liftrill.errors import LiftrillError
from liftrill.gateway import ticks
from liftrill.gateway.relay_codec import (
    RelayAnswer,
    RelayDecodeError,
    RelayUpdate,
    decode_message,
    encode_question,
)
from liftrill.gateway.relay_server import AFTER_PARAMETER, ERA_PARAMETER
from liftrill.response_limits import MAX_STORE_BODY_BYTES

_nonces = itertools.count(1)


# Part of the propagation bound that is reserved, besides the time until the next answer, for
# switching to another reader or to the store, and for a request in transit.
SWITCH_MARGIN_S = 0.2


def max_mirror_age_s(propagation_s: float) -> float:
    """Return the maximum age of a followed reader's mirror for a propagation bound."""
    remaining_s = propagation_s - constants.RELAY_QUERY_INTERVAL_SECONDS - SWITCH_MARGIN_S
    return min(constants.RELAY_MAX_PROOF_AGE_SECONDS, remaining_s)


class RelayLostError(LiftrillError):
    """The reader that this node follows no longer serves it."""


class RelayListener(ABC):
    """Receives the messages of the followed reader."""

    @abstractmethod
    def relay_updated(self, update: RelayUpdate) -> None:
        """Apply changes, or a part of a snapshot."""

    @abstractmethod
    def relay_confirmed(self, answer: RelayAnswer, asked_at: float) -> None:
        """Record how current the reader was when it answered a question sent at `asked_at`."""

    @abstractmethod
    def reader_timeout_s(self) -> float:
        """Return how long the reader may be silent from now on."""


@dataclass(frozen=True, slots=True)
class ReaderLimits:
    """The limits beyond which a reader is not followed.

    Attributes:
        node_id: the id of the following node.
        max_mirror_age_s: the maximum age of the reader's mirror of the store.
    """

    node_id: str
    max_mirror_age_s: float

    @property
    def max_copy_age_s(self) -> float:
        """The maximum age of the follower's own mirror, which grows until the next answer."""
        return self.max_mirror_age_s + constants.RELAY_QUERY_INTERVAL_SECONDS

    def check(self, answer: RelayAnswer) -> None:
        """Check a reader's answer against the limits.

        Raises:
            RelayLostError: the reader must not be followed, with the reason.
        """
        if answer.proof_age_s > constants.RELAY_MAX_PROOF_AGE_SECONDS:
            raise RelayLostError(f"the reader's proof is {answer.proof_age_s:.1f} s old")
        if answer.mirror_age_s > self.max_mirror_age_s:
            raise RelayLostError(f"the reader's mirror is {answer.mirror_age_s:.1f} s old")
        if not answer.path:
            raise RelayLostError("the reader has no path to the store")
        if self.node_id in answer.path:
            raise RelayLostError("the reader follows this node")


class RelayClient:
    """Follows one reader at a time."""

    def __init__(self, listener: RelayListener, limits: ReaderLimits) -> None:
        self._listener = listener
        self._limits = limits
        self._asked_at: dict[int, float] = {}

    async def follow(self, address: str, after: int) -> None:
        """Follow a reader from a position of the mirror until the connection or the reader fails.

        Raises:
            RelayLostError: always, with the reason.
        """
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=constants.CONNECT_TIMEOUT_SECONDS)
        connector = aiohttp.TCPConnector(use_dns_cache=False, force_close=True)
        query = f"{AFTER_PARAMETER}={revision_of(after)}&{ERA_PARAMETER}={era_of(after)}"
        url = f"http://{address}/?{query}"
        try:
            async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
                async with asyncio.timeout(self._listener.reader_timeout_s()):
                    socket = await session.ws_connect(url, max_msg_size=MAX_STORE_BODY_BYTES)
                try:
                    await self._listen(socket)
                finally:
                    _abort(socket)
        except (aiohttp.ClientError, OSError, TimeoutError, RelayDecodeError) as error:
            raise RelayLostError(f"{type(error).__name__}: {error}") from error

    async def _listen(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        self._asked_at.clear()
        asking = asyncio.ensure_future(self._ask(socket))
        try:
            while True:
                async with asyncio.timeout(self._listener.reader_timeout_s()):
                    message = await socket.receive()
                if message.type is not aiohttp.WSMsgType.BINARY:
                    raise RelayLostError("the reader closed the connection")
                self._handle_message(message.data)
        finally:
            asking.cancel()

    async def _ask(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        with suppress(OSError, RuntimeError, aiohttp.ClientError):
            while True:
                nonce = next(_nonces)
                self._asked_at[nonce] = clock.now_s()
                await socket.send_bytes(encode_question(nonce))
                await ticks.pause(constants.RELAY_QUERY_INTERVAL_SECONDS)

    def _handle_message(self, data: bytes) -> None:
        message = decode_message(data)
        if isinstance(message, RelayUpdate):
            self._listener.relay_updated(message)
            return
        asked_at = self._asked_at.pop(message.nonce, None)
        if asked_at is None:
            return
        self._limits.check(message)
        self._listener.relay_updated(RelayUpdate(WatchBatch((), message.at)))
        self._listener.relay_confirmed(message, asked_at)


def _abort(socket: aiohttp.ClientWebSocketResponse) -> None:
    """Close a connection at once.

    A closing handshake would read on for as long as the reader sends, and a connection that is
    closed in order waits until the reader has read what was sent to it.
    """
    connection = socket._conn
    if connection is not None and connection.transport is not None:
        connection.transport.abort()
