"""HTTP handlers for calls from other nodes."""

from aiohttp import web

from liftrill.messages.peer_pb2 import (
    ClaimRequest,
    ClaimResult,
    ClaimWithdrawal,
    NodeStatus,
    PrefixExchange,
    Snapshot,
)
from liftrill.node.claim_codec import (
    answer_message,
    proposal_from_message,
    result_from_message,
)
from liftrill.node.claim_service import ClaimService
from liftrill.node.context import NodeContext
from liftrill.node.gossip_codec import listing_message, member_message, observation_message
from liftrill.node.peer_client import SIGNATURE_HEADER, signature_is_valid
from liftrill.node.prefix_codec import exchange_message, reports_from_message
from liftrill.node.prefix_exchange import PrefixExchangeService

PROTOBUF_CONTENT_TYPE = "application/x-protobuf"


class PeerApi:
    """Serves snapshots, heads and sections to nodes that are behind; status; prefixes; claims."""

    def __init__(
        self,
        context: NodeContext,
        claims: ClaimService,
        prefix_exchange: PrefixExchangeService,
    ) -> None:
        self._context = context
        self._claims = claims
        self._prefix_exchange = prefix_exchange

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [
            web.post("/peer/snapshot", self._snapshot),
            web.post("/peer/head", self._head),
            web.post("/peer/section", self._section),
            web.post("/peer/status", self._status),
            web.post("/peer/prefixes", self._prefixes),
            web.post("/peer/claim", self._claim),
            web.post("/peer/claim/withdraw", self._withdraw_claim),
            web.post("/peer/claim/result", self._claim_result),
        ]

    async def _snapshot(self, request: web.Request) -> web.Response:
        await self.authenticated_body(request)
        return protobuf_response(self._make_snapshot().SerializeToString())

    async def _head(self, request: web.Request) -> web.Response:
        await self.authenticated_body(request)
        return protobuf_response(self._context.head.SerializeToString())

    async def _status(self, request: web.Request) -> web.Response:
        await self.authenticated_body(request)
        status = NodeStatus(
            node_id=self._context.settings.node_id,
            configuration_generation=self._context.view.generation,
            draining=self._context.draining,
        )
        return protobuf_response(status.SerializeToString())

    async def _section(self, request: web.Request) -> web.Response:
        digest = await self.authenticated_body(request)
        content = self._context.replica.section_by_digest(digest)
        if content is None:
            return web.Response(status=404)
        return protobuf_response(content)

    async def _prefixes(self, request: web.Request) -> web.Response:
        message = PrefixExchange.FromString(await self.authenticated_body(request))
        home_reports = self._prefix_exchange.exchange_reports(
            message.node_id, reports_from_message(message)
        )
        reply = exchange_message(self._context.settings.node_id, home_reports)
        return protobuf_response(reply.SerializeToString())

    async def _claim(self, request: web.Request) -> web.Response:
        message = ClaimRequest.FromString(await self.authenticated_body(request))
        answer = self._claims.answer_proposal(proposal_from_message(message))
        return protobuf_response(answer_message(answer).SerializeToString())

    async def _withdraw_claim(self, request: web.Request) -> web.Response:
        message = ClaimWithdrawal.FromString(await self.authenticated_body(request))
        self._claims.accept_withdrawal(message.key, message.attempt_id)
        return protobuf_response(b"")

    async def _claim_result(self, request: web.Request) -> web.Response:
        message = ClaimResult.FromString(await self.authenticated_body(request))
        result = result_from_message(message.result)
        self._claims.accept_result(message.key, message.attempt_id, result)
        return protobuf_response(b"")

    async def authenticated_body(self, request: web.Request) -> bytes:
        """Return the body of a call after verifying its signature.

        Raises:
            web.HTTPForbidden: no accepted key matches the signature.
        """
        content = await request.read()
        signature = request.headers.get(SIGNATURE_HEADER, "")
        keys = self._context.settings.shared_keys
        if not signature_is_valid(keys, request.path, content, signature):
            raise web.HTTPForbidden
        return content

    def _make_snapshot(self) -> Snapshot:
        context = self._context
        snapshot = Snapshot(head=context.head)
        current = context.replica.current
        if current is not None:
            for name, digest in current.head.section_digests.items():
                snapshot.sections[digest.hex()] = current.sections[name]
        snapshot.members.extend(member_message(m) for m in context.membership.all_members())
        snapshot.engines.extend(listing_message(item) for item in context.records.listings())
        snapshot.observations.extend(
            observation_message(item) for item in context.records.observations()
        )
        return snapshot


def protobuf_response(content: bytes) -> web.Response:
    """Return a protobuf response."""
    return web.Response(body=content, content_type=PROTOBUF_CONTENT_TYPE)
