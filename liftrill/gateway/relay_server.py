"""Lets other nodes follow this node's mirror of the store."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field

from aiohttp import WSMsgType

from liftrill import clock
from liftrill.coordination.change_log import ChangeLog
from liftrill.coordination.mirror_currency import MirrorCurrency
from liftrill.coordination.range_store import RemovedItem, StoredItem, WatchBatch
from liftrill.coordination.store_mirror import MirrorChange, StoreMirror
from liftrill.coordination.store_position import position
from liftrill.gateway import http_server as web
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.relay_codec import (
    RelayAnswer,
    RelayDecodeError,
    decode_question,
    encode_answer,
    encode_batch,
    encode_snapshot,
)

AFTER_PARAMETER = "after"
ERA_PARAMETER = "era"
# A follower that is further behind than this is cut off, and may come back.
QUEUED_BYTES = 8 * 1024 * 1024
LARGEST_QUESTION_BYTES = 1_024
ENDED = b""


@dataclass(eq=False, slots=True)
class _Subscriber:
    """One follower: what it is still to be sent.

    Attributes:
        cut_off: ends its connection at once.
        held_bytes: the size of what is queued.
    """

    cut_off: Callable[[], None]
    queue: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)
    held_bytes: int = 0

    def put(self, data: bytes) -> None:
        """Send data later, or cut the follower off if it does not take what it has."""
        if self.held_bytes + len(data) > QUEUED_BYTES:
            self.cut_off()
            return
        self.held_bytes += len(data)
        self.queue.put_nowait(data)

    async def take(self) -> bytes:
        """Return what to send next, or `ENDED`."""
        data = await self.queue.get()
        self.held_bytes -= len(data)
        return data


class RelaySource(ABC):
    """What a node knows of the store, for those that follow it.

    Attributes:
        mirror: the copy.
        currency: until when the copy is known to be whole.
    """

    mirror: StoreMirror
    freshness: MirrorCurrency

    @property
    @abstractmethod
    def path(self) -> tuple[str, ...]:
        """Return the nodes that changes pass, from this one to the one that reads the store.

        Naming the last one alone would not do: two nodes that follow each other may go on
        telling each other of a third that reads no more.
        """


class RelayServer:
    """Serve the mirror to followers over web sockets."""

    def __init__(
        self,
        source: RelaySource,
        view: ConfigurationView,
        count: Callable[[int], None],
    ) -> None:
        self._source = source
        self._mirror = source.mirror
        self._view = view
        self._count = count
        self._log = ChangeLog()
        self._published_at = 0
        self._subscribers: set[_Subscriber] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Open the socket that followers connect to."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        handler = web.Server(self._on_request, access_log=None)
        self._server = await loop.create_server(handler, host, int(port))

    def close(self) -> None:
        """Take no more followers, and let those there are go."""
        if self._server is not None:
            self._server.close()
        for subscriber in self._subscribers:
            subscriber.put(ENDED)

    def publish(self, change: MirrorChange) -> None:
        """Pass a change of the mirror on."""
        before, self._published_at = self._published_at, self._mirror.at
        if change.gap:
            if before == self._mirror.at and not change.written and not change.removed:
                return
            self._log.restart(self._mirror.at)
            for data in self._snapshot():
                self._send_all(data)
            return
        removed = (RemovedItem(key, self._mirror.at) for key in change.removed)
        batch = WatchBatch((*change.written, *removed), self._mirror.at)
        self._log.append(batch)
        self._send_all(encode_batch(batch))

    def _snapshot(self) -> Iterator[bytes]:
        return encode_snapshot(self._mirror.items(), self._mirror.at)

    def publish_early(self, item: StoredItem) -> None:
        """Pass on an item that was read alone, before the mirror knows of it."""
        # Revision 0 moves no copy forward: other changes before this one may be missing.
        self._send_all(encode_batch(WatchBatch((item,), 0)))

    def _send_all(self, data: bytes) -> None:
        for subscriber in self._subscribers:
            subscriber.put(data)

    async def _on_request(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self._mirror.at:
            return web.Response(status=503)
        try:
            after = _copy_of(request.query)
        except ValueError:
            return web.Response(status=400)
        socket = web.WebSocketResponse(max_msg_size=LARGEST_QUESTION_BYTES, compress=False)
        await socket.prepare(request)
        assert request.transport is not None
        subscriber = _Subscriber(request.transport.abort)
        self._catch_up(subscriber, after)
        self._subscribers.add(subscriber)
        self._count(len(self._subscribers))
        sending = asyncio.ensure_future(self._send(socket, subscriber))
        try:
            await self._answer(socket, subscriber)
        finally:
            self._subscribers.discard(subscriber)
            self._count(len(self._subscribers))
            sending.cancel()
        return socket

    def _catch_up(self, subscriber: _Subscriber, after: int) -> None:
        batches = self._log.since(after) if after else None
        if batches is None:
            for data in self._snapshot():
                subscriber.put(data)
            return
        for batch in batches:
            subscriber.put(encode_batch(batch))

    async def _send(self, socket: web.WebSocketResponse, subscriber: _Subscriber) -> None:
        with suppress(OSError, RuntimeError):
            while data := await subscriber.take():
                await socket.send_bytes(data)
        await socket.close()

    async def _answer(self, socket: web.WebSocketResponse, subscriber: _Subscriber) -> None:
        async for message in socket:
            if message.type is not WSMsgType.BINARY:
                return
            try:
                nonce = decode_question(message.data)
            except RelayDecodeError:
                return
            # It goes through the queue, behind all that the mirror took in before.
            subscriber.put(encode_answer(self._answer_to(nonce)))

    def _answer_to(self, nonce: int) -> RelayAnswer:
        now = clock.now_s()
        return RelayAnswer(
            nonce,
            self._view.version,
            self._view.proof_age(now),
            self._mirror.at,
            self._source.freshness.age_s(now),
            self._source.path,
        )


def _copy_of(query: Mapping[str, str]) -> int:
    """Return the position of a follower's copy, as its question tells it.

    Raises:
        ValueError: it tells none that can be.
    """
    after, era = query.get(AFTER_PARAMETER, ""), query.get(ERA_PARAMETER, "0")
    if not (after + era).isascii() or not (after.isdigit() and era.isdigit()):
        raise ValueError(f"after {after!r} of {era!r}")
    return position(int(era), int(after))
