"""Serves this node's mirror of the store to the nodes that follow it."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field

from aiohttp import WSMsgType

from liftrill import clock
from liftrill.coordination.change_log import ChangeLog
from liftrill.coordination.mirror_freshness import MirrorFreshness
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
# A follower with more queued data than this is disconnected, and may reconnect.
MAX_QUEUED_BYTES = 8 * 1024 * 1024
MAX_QUESTION_BYTES = 1_024
END_OF_STREAM = b""


@dataclass(eq=False, slots=True)
class _Subscriber:
    """The send queue of one follower.

    Attributes:
        abort: closes the follower's connection at once.
        queued_bytes: the size of the data in the queue.
    """

    abort: Callable[[], None]
    queue: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)
    queued_bytes: int = 0

    def put(self, data: bytes) -> None:
        """Queue data, or disconnect a follower that reads too slowly."""
        if self.queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.abort()
            return
        self.queued_bytes += len(data)
        self.queue.put_nowait(data)

    async def take(self) -> bytes:
        """Return the next data to send, or `END_OF_STREAM`."""
        data = await self.queue.get()
        self.queued_bytes -= len(data)
        return data


class RelaySource(ABC):
    """The mirror of a node, as served to its followers.

    Attributes:
        mirror: the node's copy of the store's range.
        freshness: until when the mirror is known to be complete.
    """

    mirror: StoreMirror
    freshness: MirrorFreshness

    @property
    @abstractmethod
    def path(self) -> tuple[str, ...]:
        """Return the relay path of changes, from this node to the node that reads the store.

        The last node alone would not be enough: two nodes that follow each other could keep
        naming a third node that no longer reads the store.
        """


class RelayServer:
    """Serves the mirror to followers over web sockets."""

    def __init__(
        self,
        source: RelaySource,
        view: ConfigurationView,
        report_followers: Callable[[int], None],
    ) -> None:
        self._source = source
        self._mirror = source.mirror
        self._view = view
        self._report_followers = report_followers
        self._log = ChangeLog()
        self._published_at = 0
        self._subscribers: set[_Subscriber] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Open the server socket for followers."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        handler = web.Server(self._on_request, access_log=None)
        self._server = await loop.create_server(handler, host, int(port))

    def close(self) -> None:
        """Stop accepting followers, and disconnect the current ones after their queues."""
        if self._server is not None:
            self._server.close()
        for subscriber in self._subscribers:
            subscriber.put(END_OF_STREAM)

    def publish(self, change: MirrorChange) -> None:
        """Send a change of the mirror to all followers."""
        before, self._published_at = self._published_at, self._mirror.position
        if change.gap:
            if before == self._mirror.position and not change.written and not change.removed:
                return
            self._log.reset(self._mirror.position)
            for data in self._snapshot():
                self._send_all(data)
            return
        removed = (RemovedItem(key, self._mirror.position) for key in change.removed)
        batch = WatchBatch((*change.written, *removed), self._mirror.position)
        self._log.append(batch)
        self._send_all(encode_batch(batch))

    def _snapshot(self) -> Iterator[bytes]:
        return encode_snapshot(self._mirror.items(), self._mirror.position)

    def publish_early(self, item: StoredItem) -> None:
        """Send an item that was read on its own before the watch delivered it to the mirror."""
        # Position 0 does not advance the followers' mirrors: changes before this item may be
        # missing.
        self._send_all(encode_batch(WatchBatch((item,), 0)))

    def _send_all(self, data: bytes) -> None:
        for subscriber in self._subscribers:
            subscriber.put(data)

    async def _on_request(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self._mirror.position:
            return web.Response(status=503)
        try:
            after = _mirror_position(request.query)
        except ValueError:
            return web.Response(status=400)
        socket = web.WebSocketResponse(max_msg_size=MAX_QUESTION_BYTES, compress=False)
        await socket.prepare(request)
        assert request.transport is not None
        subscriber = _Subscriber(request.transport.abort)
        self._catch_up(subscriber, after)
        self._subscribers.add(subscriber)
        self._report_followers(len(self._subscribers))
        sending = asyncio.ensure_future(self._send(socket, subscriber))
        try:
            await self._answer(socket, subscriber)
        finally:
            self._subscribers.discard(subscriber)
            self._report_followers(len(self._subscribers))
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
            # The answer is queued after all changes that the mirror has applied before it.
            subscriber.put(encode_answer(self._new_answer(nonce)))

    def _new_answer(self, nonce: int) -> RelayAnswer:
        now = clock.now_s()
        return RelayAnswer(
            nonce,
            self._view.version,
            self._view.proof_age(now),
            self._mirror.position,
            self._source.freshness.age_s(now),
            self._source.path,
        )


def _mirror_position(query: Mapping[str, str]) -> int:
    """Return the position of a follower's mirror from its query parameters.

    Raises:
        ValueError: a parameter is not a valid revision or era.
    """
    after, era = query.get(AFTER_PARAMETER, ""), query.get(ERA_PARAMETER, "0")
    if not (after + era).isascii() or not (after.isdigit() and era.isdigit()):
        raise ValueError(f"invalid position: revision {after!r}, era {era!r}")
    return position(int(era), int(after))
