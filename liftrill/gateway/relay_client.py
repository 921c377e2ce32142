"""Follows another node's mirror of the store."""

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

_nonces = itertools.count(1)


# What is left of the bound on news, besides the time to the next answer, for following another
# node or reading the store, and for a request on its way.
LEAVING_S = 0.2


def max_mirror_age_s(news_s: float) -> float:
    """Return how old the copy of a followed reader may be, by the bound on news."""
    left_s = news_s - constants.RELAY_QUESTION_SECONDS - LEAVING_S
    return min(constants.RELAY_PROOF_AGE_SECONDS, left_s)


class RelayLostError(LiftrillError):
    """The reader that this node follows serves it no more."""


class RelayListener(ABC):
    """Whom to tell of what a reader sends."""

    @abstractmethod
    def relay_updated(self, update: RelayUpdate) -> None:
        """Take in changes, or a part of a snapshot."""

    @abstractmethod
    def relay_confirmed(self, answer: RelayAnswer, asked_at: float) -> None:
        """Take in how current the reader was some time after a question."""

    @abstractmethod
    def reader_timeout_s(self) -> float:
        """Return for how long a reader may be silent from now on."""


@dataclass(frozen=True, slots=True)
class ReaderLimits:
    """What makes a reader unfit to be followed.

    Attributes:
        own_name: the node that follows.
        max_mirror_age_s: how old the reader's copy of the store may be.
    """

    own_name: str
    max_mirror_age_s: float

    @property
    def max_copy_age_s(self) -> float:
        """How old the follower's own copy may grow: until the answer after its last one is due."""
        return self.max_mirror_age_s + constants.RELAY_QUESTION_SECONDS

    def check(self, answer: RelayAnswer) -> None:
        """Check a reader's answer.

        Raises:
            RelayLostError: the reader is not to be followed, with the reason.
        """
        if answer.proof_age_s > constants.RELAY_PROOF_AGE_SECONDS:
            raise RelayLostError(f"its proof is {answer.proof_age_s:.1f} s old")
        if answer.mirror_age_s > self.max_mirror_age_s:
            raise RelayLostError(f"its copy is {answer.mirror_age_s:.1f} s old")
        if not answer.path:
            raise RelayLostError("nobody reads the store for it")
        if self.own_name in answer.path:
            raise RelayLostError("it follows this node")


class RelayClient:
    """Follow one reader at a time."""

    def __init__(self, listener: RelayListener, limits: ReaderLimits) -> None:
        self._listener = listener
        self._limits = limits
        self._asked_at: dict[int, float] = {}

    async def follow(self, address: str, after: int) -> None:
        """Follow a reader from a revision until it serves no more.

        Raises:
            RelayLostError: always, with the reason.
        """
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=constants.CONNECT_TIMEOUT_SECONDS)
        connector = aiohttp.TCPConnector(use_dns_cache=False, force_close=True)
        query = f"{AFTER_PARAMETER}={revision_of(after)}&{ERA_PARAMETER}={era_of(after)}"
        url = f"http://{address}/?{query}"
        try:
            async with (
                aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
                asyncio.timeout(self._listener.reader_timeout_s()) as opening,
                session.ws_connect(url, max_msg_size=0) as socket,
            ):
                opening.reschedule(None)
                await self._listen(socket)
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
                    raise RelayLostError("closed by the reader")
                self._take(message.data)
        finally:
            asking.cancel()

    async def _ask(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        with suppress(OSError, RuntimeError, aiohttp.ClientError):
            while True:
                nonce = next(_nonces)
                self._asked_at[nonce] = clock.now_s()
                await socket.send_bytes(encode_question(nonce))
                await ticks.pause(constants.RELAY_QUESTION_SECONDS)

    def _take(self, data: bytes) -> None:
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
