"""HTTP handlers for other nodes."""

from aiohttp import web

from liftrill.messages.peer_pb2 import EngineRecord, Snapshot
from liftrill.node.context import NodeContext
from liftrill.node.peer_client import SIGNATURE_HEADER, signature_is_valid

PROTOBUF_CONTENT_TYPE = "application/x-protobuf"


class PeerApi:
    """Snapshots and sections for nodes that start or have fallen behind."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to serve."""
        return [
            web.post("/peer/snapshot", self._snapshot),
            web.post("/peer/section", self._section),
        ]

    async def _snapshot(self, request: web.Request) -> web.Response:
        await self.authenticated_body(request)
        return protobuf_response(self._make_snapshot().SerializeToString())

    async def _section(self, request: web.Request) -> web.Response:
        digest = await self.authenticated_body(request)
        content = self._context.replica.section_by_digest(digest)
        if content is None:
            return web.Response(status=404)
        return protobuf_response(content)

    async def authenticated_body(self, request: web.Request) -> bytes:
        """Return a call's body after checking its signature.

        Raises:
            web.HTTPForbidden: the signature matches no accepted key.
        """
        content = await request.read()
        signature = request.headers.get(SIGNATURE_HEADER, "")
        keys = self._context.settings.shared_keys
        if not signature_is_valid(keys, request.path, content, signature):
            raise web.HTTPForbidden
        return content

    def _make_snapshot(self) -> Snapshot:
        snapshot = Snapshot(head=self._context.head)
        current = self._context.replica.current
        if current is not None:
            for name, digest in current.head.section_digests.items():
                snapshot.sections[digest.hex()] = current.sections[name]
        snapshot.engines.extend(self._engine_records())
        return snapshot

    def _engine_records(self) -> list[EngineRecord]:
        return [
            EngineRecord(
                engine_id=engine.engine_id,
                address=engine.address,
                zone=engine.zone,
                pool=engine.pool,
                incarnation=engine.incarnation or 0,
                weight_version=engine.weight_version,
            )
            for engine in self._context.engines
            if not engine.leaving
        ]


def protobuf_response(content: bytes) -> web.Response:
    """Return a protobuf answer."""
    return web.Response(body=content, content_type=PROTOBUF_CONTENT_TYPE)
