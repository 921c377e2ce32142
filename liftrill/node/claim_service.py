"""Claims in a node: proposes to the group, and answers as a member of it."""

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


class AnchoredClock:
    """Unix time that follows the monotonic clock, so that it cannot be set back."""

    def __init__(self) -> None:
        self._offset = time.time() - clock.now_s()

    def now(self) -> float:
        """Return Unix seconds."""
        return clock.now_s() + self._offset


@dataclass(frozen=True, slots=True)
class ClaimTicket:
    """A granted claim: the request may be dispatched under it, once."""

    group: ClaimGroup
    proposal: ClaimProposal


class ClaimService:
    """One per node."""

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
        self._clock = AnchoredClock()
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
        """Take over the group from a new configuration."""
        members = frozenset(section.members)
        self._group = ClaimGroup(section.epoch, members, frozenset(section.previous_members))
        self._member.adopt_epoch(section.epoch, self._clock.now())

    # Proposing

    async def claim(self, key: str, attempt_id: str, digest: bytes) -> ClaimTicket | StoredResult:
        """Claim a key, or return the answer of the attempt that holds it.

        Raises:
            InvalidRequestError: the key was used for another request.
            UnknownOutcomeError: it cannot be told whether the key was used.
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
        # An attempt that is given up here is never dispatched, so its grants may go.
        self.withdraw(ticket)
        if claim_round.result is not None:
            return claim_round.result
        raise _refusal(state)

    def withdraw(self, ticket: ClaimTicket) -> None:
        """Release a claim whose request was certainly not dispatched."""
        for member in ticket.group.all_members:
            self._spawn(self._send_withdrawal(member, ticket.proposal))

    def store_result(self, ticket: ClaimTicket, result: StoredResult) -> None:
        """Leave the answer with the members, for callers that repeat the key."""
        for member in ticket.group.all_members:
            self._spawn(self._send_result(member, ticket.proposal, result))

    # Answering

    def answer_proposal(self, proposal: ClaimProposal) -> ClaimAnswer:
        """Answer as a member."""
        if not self._verified:
            return ClaimAnswer(Verdict.ABSTAINED)
        return self._member.propose(proposal, self._clock.now())

    def accept_withdrawal(self, key: bytes, attempt_id: str) -> None:
        """Release a key as a member."""
        self._member.withdraw(key, attempt_id)

    def accept_result(self, key: bytes, attempt_id: str, result: StoredResult) -> None:
        """Keep a result as a member."""
        self._member.store_result(key, attempt_id, result)

    async def verify_epoch(self) -> None:
        """Hold back answers until the epoch is known to be the newest.

        A restarted node may have its configuration from a node that has not heard of a
        change of the group. It answers only when a majority of the group, which any
        completed change needed, knows no newer configuration.
        """
        while not self._verified:
            generations = await self._generations(self._group.members)
            known = [g for g in generations if g is not None]
            current = self._membership.generation
            if known and len(known) > len(generations) // 2 and max(known) <= current:
                self._verified = True
                log_change("claims_served", epoch=self._group.epoch)
                return
            await asyncio.sleep(constants.CLAIM_VERIFICATION_INTERVAL_SECONDS)

    async def previous_majority_has_adopted(self, generation: int) -> bool:
        """Return whether a majority of the group's former members has a generation in force."""
        former = self._group.previous_members
        generations = await self._generations(former)
        adopted = [g for g in generations if g is not None and g >= generation]
        return len(adopted) > len(former) // 2

    async def _generations(self, members: Iterable[str]) -> list[int | None]:
        return list(await asyncio.gather(*(self._generation_of(m) for m in sorted(members))))

    async def _generation_of(self, member: str) -> int | None:
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
            asyncio.create_task(self._propose(member, claim_round))
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

    async def _propose(self, member: str, claim_round: ClaimRound) -> None:
        answer = await self._ask(member, claim_round.proposal)
        if answer is None:
            claim_round.record_no_answer(member)
        else:
            claim_round.record_answer(member, answer)

    async def _ask(self, member: str, proposal: ClaimProposal) -> ClaimAnswer | None:
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
        await self._tell(member, "/peer/claim/withdraw", message.SerializeToString())

    async def _send_result(
        self, member: str, proposal: ClaimProposal, result: StoredResult
    ) -> None:
        if member == self._node_id:
            self.accept_result(proposal.key, proposal.attempt_id, result)
            return
        message = peer_pb2.ClaimResult(
            key=proposal.key, attempt_id=proposal.attempt_id, result=result_message(result)
        )
        await self._tell(member, "/peer/claim/result", message.SerializeToString())

    async def _tell(self, member: str, path: str, content: bytes) -> None:
        record = self._membership.member(member)
        if record is None:
            return
        try:
            await self._peers.send(record.address, path, content)
        except PeerError:
            return


def _refusal(state: RoundState) -> RequestError:
    """Return the error of a round that was not granted."""
    wait = constants.RETRY_AFTER_SECONDS
    if state is RoundState.REUSED:
        return InvalidRequestError(ResultCode.IDEMPOTENCY_KEY_REUSED)
    if state is RoundState.EXPIRED:
        return UnknownOutcomeError(ResultCode.CLAIM_EXPIRED)
    if state is RoundState.HELD:
        return UnknownOutcomeError(ResultCode.CLAIM_HELD, retry_after_seconds=wait)
    return UnknownOutcomeError(ResultCode.CLAIM_UNAVAILABLE, retry_after_seconds=wait)
