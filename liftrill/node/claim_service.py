"""Claims of idempotency keys: proposes them to the claim group, and serves as a member."""

import asyncio
import time
import uuid
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass

from liftrill import clock, constants
from liftrill.coordination.claims import (
    ClaimAnswer,
    ClaimGroup,
    ClaimMember,
    ClaimParameters,
    ClaimProposal,
    ClaimRound,
    RoundState,
    StoredResult,
    Verdict,
)
from liftrill.coordination.membership import Membership
from liftrill.errors import InvalidRequestError, RequestError, ResultCode, UnknownOutcomeError
from liftrill.messages import configuration_pb2, peer_pb2
from liftrill.node.claim_codec import (
    answer_from_message,
    proposal_message,
    result_message,
)
from liftrill.node.logs import log_change
from liftrill.node.peer_client import PeerClient, PeerError


class MonotonicUnixClock:
    """Unix time that advances with the monotonic clock, so that it never goes back."""

    def __init__(self) -> None:
        self._offset = time.time() - clock.now_s()

    def now(self) -> float:
        """Return the time in Unix seconds."""
        return clock.now_s() + self._offset


@dataclass(frozen=True, slots=True)
class ClaimTicket:
    """A claim and the group it was proposed to; once granted, it allows one dispatch."""

    group: ClaimGroup
    proposal: ClaimProposal


class ClaimService:
    """Claims keys for the requests of this node, and keeps claims as a member of the group."""

    def __init__(
        self,
        node_id: str,
        membership: Membership,
        peers: PeerClient,
        spawn: Callable[[Coroutine[None, None, None]], None],
    ) -> None:
        self._node_id = node_id
        self._membership = membership
        self._peers = peers
        self._spawn = spawn
        self._clock = MonotonicUnixClock()
        self._group = ClaimGroup(0, frozenset())
        self._verified = False
        parameters = ClaimParameters(
            constants.CLAIM_LIFETIME_SECONDS,
            constants.CLAIM_CLOCK_SKEW_SECONDS,
            constants.CLAIMS_KEPT,
            constants.CLAIM_RESULT_BYTES,
        )
        self._member = ClaimMember(parameters, self._clock.now())

    def apply_section(self, section: configuration_pb2.ClaimSection) -> None:
        """Use the claim group of a new configuration."""
        members = frozenset(section.members)
        self._group = ClaimGroup(section.epoch, members, frozenset(section.previous_members))
        self._member.adopt_epoch(section.epoch, self._clock.now())

    # Proposing

    async def claim(self, key: str, attempt_id: str, digest: bytes) -> ClaimTicket | StoredResult:
        """Claim a key, or return the stored response of the attempt that holds it.

        Raises:
            InvalidRequestError: the key was used for another request.
            UnknownOutcomeError: the key has expired, is held by an attempt without a stored
                response, or no majority responded.
        """
        proposal = ClaimProposal(uuid.UUID(key).bytes, attempt_id, digest, self._group.epoch)
        claim_round = ClaimRound(self._group, proposal)
        ticket = ClaimTicket(self._group, proposal)
        try:
            state = await self._run_round(claim_round)
        except asyncio.CancelledError:
            self.withdraw(ticket)
            raise
        if state is RoundState.GRANTED:
            return ticket
        # An attempt without a granted claim is never dispatched, so its grants can be released.
        self.withdraw(ticket)
        if claim_round.result is not None:
            return claim_round.result
        raise _round_error(state)

    def withdraw(self, ticket: ClaimTicket) -> None:
        """Release a claim whose request was definitely not run by an engine."""
        for member in ticket.group.all_members:
            self._spawn(self._send_withdrawal(member, ticket.proposal))

    def store_result(self, ticket: ClaimTicket, result: StoredResult) -> None:
        """Store the response at the members, for callers that repeat the key."""
        for member in ticket.group.all_members:
            self._spawn(self._send_result(member, ticket.proposal, result))

    # Serving as a member

    def answer_proposal(self, proposal: ClaimProposal) -> ClaimAnswer:
        """Respond to a proposal; abstain until the epoch is verified."""
        if not self._verified:
            return ClaimAnswer(Verdict.ABSTAINED)
        return self._member.propose(proposal, self._clock.now())

    def accept_withdrawal(self, key: bytes, attempt_id: str) -> None:
        """Release the key of an attempt that was withdrawn."""
        self._member.withdraw(key, attempt_id)

    def accept_result(self, key: bytes, attempt_id: str, result: StoredResult) -> None:
        """Store the response of the attempt that holds a key."""
        self._member.store_result(key, attempt_id, result)

    async def verify_epoch(self) -> None:
        """Abstain from proposals until the epoch is verified to be the newest.

        A restarted node may get its configuration from a node that has not received a
        change of the group. The restarted node starts to respond when a majority of the
        group, which any completed change needed, has no newer configuration.
        """
        while not self._verified:
            generations = await self._fetch_generations(self._group.members)
            known = [g for g in generations if g is not None]
            current = self._membership.generation
            if known and len(known) > len(generations) // 2 and max(known) <= current:
                self._verified = True
                log_change("claims_served", epoch=self._group.epoch)
                return
            await asyncio.sleep(constants.CLAIM_VERIFICATION_INTERVAL_SECONDS)

    async def previous_majority_has_adopted(self, generation: int) -> bool:
        """Return whether a majority of the previous members has adopted a generation."""
        previous = self._group.previous_members
        generations = await self._fetch_generations(previous)
        adopted = [g for g in generations if g is not None and g >= generation]
        return len(adopted) > len(previous) // 2

    async def _fetch_generations(self, members: Iterable[str]) -> list[int | None]:
        return list(await asyncio.gather(*(self._fetch_generation(m) for m in sorted(members))))

    async def _fetch_generation(self, member: str) -> int | None:
        if member == self._node_id:
            return self._membership.generation
        record = self._membership.member(member)
        if record is None:
            return None
        try:
            return (await self._peers.status(record.address)).configuration_generation
        except PeerError:
            return None

    async def _run_round(self, claim_round: ClaimRound) -> RoundState:
        tasks = [
            asyncio.create_task(self._propose_to(member, claim_round))
            for member in claim_round.group.all_members
        ]
        try:
            for task in asyncio.as_completed(tasks):
                await task
                if claim_round.state is not RoundState.PENDING:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return claim_round.state

    async def _propose_to(self, member: str, claim_round: ClaimRound) -> None:
        answer = await self._request_answer(member, claim_round.proposal)
        if answer is None:
            claim_round.record_no_answer(member)
        else:
            claim_round.record_answer(member, answer)

    async def _request_answer(self, member: str, proposal: ClaimProposal) -> ClaimAnswer | None:
        if member == self._node_id:
            return self.answer_proposal(proposal)
        record = self._membership.member(member)
        if record is None:
            return None
        try:
            reply = await self._peers.propose_claim(record.address, proposal_message(proposal))
        except PeerError:
            return None
        return answer_from_message(reply)

    async def _send_withdrawal(self, member: str, proposal: ClaimProposal) -> None:
        if member == self._node_id:
            self.accept_withdrawal(proposal.key, proposal.attempt_id)
            return
        message = peer_pb2.ClaimWithdrawal(key=proposal.key, attempt_id=proposal.attempt_id)
        await self._send(member, "/peer/claim/withdraw", message.SerializeToString())

    async def _send_result(
        self, member: str, proposal: ClaimProposal, result: StoredResult
    ) -> None:
        if member == self._node_id:
            self.accept_result(proposal.key, proposal.attempt_id, result)
            return
        message = peer_pb2.ClaimResult(
            key=proposal.key, attempt_id=proposal.attempt_id, result=result_message(result)
        )
        await self._send(member, "/peer/claim/result", message.SerializeToString())

    async def _send(self, member: str, path: str, content: bytes) -> None:
        record = self._membership.member(member)
        if record is None:
            return
        try:
            await self._peers.send(record.address, path, content)
        except PeerError:
            return


def _round_error(state: RoundState) -> RequestError:
    """Return the error of a claim round that was not granted."""
    wait = constants.RETRY_AFTER_SECONDS
    if state is RoundState.REUSED:
        return InvalidRequestError(ResultCode.IDEMPOTENCY_KEY_REUSED)
    if state is RoundState.EXPIRED:
        return UnknownOutcomeError(ResultCode.CLAIM_EXPIRED)
    if state is RoundState.HELD:
        return UnknownOutcomeError(ResultCode.CLAIM_HELD, retry_after_seconds=wait)
    return UnknownOutcomeError(ResultCode.CLAIM_UNAVAILABLE, retry_after_seconds=wait)
