"""HTTP client of other nodes: protobuf messages, authenticated with a shared key."""

import hashlib
import hmac
from typing import TypeVar

import aiohttp
from google.protobuf.message import DecodeError, Message

from liftrill import constants
from liftrill.errors import LiftrillError
from liftrill.limited_response import require_marked_end
from liftrill.messages import peer_pb2 as messages
from liftrill.messages.configuration_pb2 import Head
from liftrill.node.metrics import NodeMetrics

SIGNATURE_HEADER = "Liftrill-Signature"
Response = TypeVar("Response", bound=Message)


class PeerError(LiftrillError):
    """A peer did not respond, or sent an unexpected response."""


def sign(shared_key: str, path: str, content: bytes) -> str:
    """Return the HMAC-SHA256 signature of a call's path and body, in hex."""
    message = path.encode() + b"\n" + content
    return hmac.new(shared_key.encode(), message, hashlib.sha256).hexdigest()


def signature_is_valid(shared_keys: list[str], path: str, content: bytes, signature: str) -> bool:
    """Return whether a call was signed with one of the accepted keys."""
    expected = [sign(key, path, content) for key in shared_keys]
    return any(hmac.compare_digest(candidate, signature) for candidate in expected)


class PeerClient:
    """Calls the peer API of other nodes, and counts the bytes sent and received."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        shared_keys: list[str],
        metrics: NodeMetrics,
    ) -> None:
        self._session = session
        self._shared_keys = shared_keys
        self._metrics = metrics

    async def snapshot(self, address: str) -> messages.Snapshot:
        """Return a peer's configuration, members and engine records.

        Raises:
            PeerError: the peer did not respond as expected.
        """
        return await self._call_for(address, "/peer/snapshot", b"", messages.Snapshot)

    async def head(self, address: str) -> Head:
        """Return a peer's head in force.

        Raises:
            PeerError: the peer did not respond as expected.
        """
        return await self._call_for(address, "/peer/head", b"", Head)

    async def status(self, address: str) -> messages.NodeStatus:
        """Return a peer's status.

        Raises:
            PeerError: the peer did not respond as expected.
        """
        return await self._call_for(address, "/peer/status", b"", messages.NodeStatus)

    async def propose_claim(
        self, address: str, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        """Return a member's answer to a claim proposal.

        Raises:
            PeerError: the peer did not respond as expected; it may have granted the claim.
        """
        content = request.SerializeToString()
        return await self._call_for(address, "/peer/claim", content, messages.ClaimReply)

    async def exchange_prefixes(
        self, address: str, message: messages.PrefixExchange
    ) -> messages.PrefixExchange:
        """Send prefix reports to a home node, and return its reports on these prefixes.

        Raises:
            PeerError: the peer did not respond as expected.
        """
        content = message.SerializeToString()
        return await self._call_for(address, "/peer/prefixes", content, messages.PrefixExchange)

    async def send(self, address: str, path: str, content: bytes) -> None:
        """Send a message whose response has no content.

        Raises:
            PeerError: the peer did not accept the message.
        """
        await self._call(address, path, content)

    async def section(self, address: str, digest: bytes) -> bytes | None:
        """Return the section with a digest, or None if the peer does not have it.

        Raises:
            PeerError: the peer did not respond.
        """
        return await self._call(address, "/peer/section", digest)

    async def _call_for(
        self, address: str, path: str, content: bytes, response_type: type[Response]
    ) -> Response:
        body = await self._call(address, path, content)
        try:
            return response_type.FromString(body or b"")
        except DecodeError as error:
            raise PeerError(
                f"peer {address} sent no valid {response_type.__name__} from {path}"
            ) from error

    async def _call(self, address: str, path: str, content: bytes) -> bytes | None:
        timeout = aiohttp.ClientTimeout(total=constants.PEER_TIMEOUT_SECONDS)
        headers = {SIGNATURE_HEADER: sign(self._shared_keys[0], path, content)}
        self._metrics.control_bytes.labels(direction="sent").inc(len(content))
        try:
            async with self._session.post(
                f"http://{address}{path}", data=content, headers=headers, timeout=timeout
            ) as response:
                body = await response.read()
                # A part of a message may be a valid one: without any byte, a granted claim.
                require_marked_end(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerError(f"peer {address} did not respond to {path}: {error!r}") from error
        self._metrics.control_bytes.labels(direction="received").inc(len(body))
        if response.status == 404:
            return None
        if response.status != 200:
            raise PeerError(
                f"peer {address} responded to {path} with HTTP status {response.status}"
            )
        return body
