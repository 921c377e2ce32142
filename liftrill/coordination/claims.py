"""Claims: at most one attempt per idempotency key, without a store, sans-IO.

A key is a UUIDv7, so it contains the time at which the caller created it. An attempt may be
dispatched only after a majority of the claim group granted it the key. A member grants a key to
one attempt and keeps the grant until the key is older than the claim lifetime; from then on it
refuses the key.

Members store nothing on disk. A restarted member has lost its grants, but these can only be for
keys created before the restart, within the clock skew: the member abstains for such keys, and
serves newer ones immediately.

During a change of the group, a claim needs a majority of the old and of the new members, so that
the majorities of nodes with the old and with the new group intersect. The change may be completed
once a majority of the old members has adopted it.

docs/design/claims.md gives the correctness argument and the alternatives; spec/claims.py is the
model.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from liftrill.mechanisms import Mechanism, is_enabled

KEY_BYTES = 16
MILLISECONDS_SHIFT = 80
# A granted key may be one skew in the future on the member's clock, which may have been one skew
# fast; after the restart, its clock may be one skew slow.
RESTART_MARGIN_IN_SKEWS = 3


def key_time(key: bytes) -> float:
    """Return the creation time of a UUIDv7, in Unix seconds (RFC 9562, section 5.7)."""
    return (int.from_bytes(key, "big") >> MILLISECONDS_SHIFT) / 1000


class Verdict(Enum):
    """The result of a proposal at one member."""

    GRANTED = "granted"
    HELD = "held"
    ABSTAINED = "abstained"
    WRONG_EPOCH = "wrong_epoch"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class StoredResult:
    """The stored response of a finished request."""

    text: str
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    weight_version: str


@dataclass(frozen=True, slots=True)
class ClaimProposal:
    """A request to a member to grant a key to an attempt.

    Attributes:
        digest: digest of the tenant and the body, so that a key serves only one request.
        epoch: the version of the group that the proposer knows.
    """

    key: bytes
    attempt_id: str
    digest: bytes
    epoch: int


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """A member's response to a proposal; the holder's fields are set for HELD."""

    verdict: Verdict
    holder_attempt_id: str = ""
    holder_digest: bytes = b""
    result: StoredResult | None = None


@dataclass(slots=True)
class _Claim:
    attempt_id: str
    digest: bytes
    result: StoredResult | None = None


@dataclass(frozen=True, slots=True)
class ClaimParameters:
    """Limits of a claim member; times are in seconds.

    Attributes:
        lifetime: the age up to which a key is kept; older keys are refused.
        skew: the maximum error of any machine's clock.
        capacity: the maximum number of claims of a member; when full, the member abstains.
        result_bytes: the maximum length of a stored response.
    """

    lifetime: float
    skew: float
    capacity: int
    result_bytes: int


class ClaimMember:
    """One member of the claim group. Times are Unix seconds."""

    def __init__(self, parameters: ClaimParameters, started_at: float) -> None:
        self._parameters = parameters
        self._complete_since = started_at
        self._claims: OrderedDict[bytes, _Claim] = OrderedDict()
        self._withdrawn: OrderedDict[tuple[bytes, str], None] = OrderedDict()
        self._epoch = 0

    def __len__(self) -> int:
        return len(self._claims)

    def adopt_epoch(self, epoch: int, now: float) -> None:
        """Serve proposals of a later epoch from now on.

        Claims are kept. For unknown keys the member acts as if it had restarted, since other
        members may have granted them in an earlier epoch.
        """
        if epoch > self._epoch:
            self._epoch = epoch
            self._complete_since = now

    def propose(self, proposal: ClaimProposal, now: float) -> ClaimAnswer:
        """Grant the key to the attempt, or return the reason for the refusal."""
        claim = self._claims.get(proposal.key)
        if claim is not None:
            return self._answer_for(claim, proposal)
        verdict = self._refusal(proposal, now)
        if verdict is not None:
            return ClaimAnswer(verdict)
        self._drop_expired(now)
        if len(self._claims) >= self._parameters.capacity:
            return ClaimAnswer(Verdict.ABSTAINED)
        self._claims[proposal.key] = _Claim(proposal.attempt_id, proposal.digest)
        return ClaimAnswer(Verdict.GRANTED)

    def withdraw(self, key: bytes, attempt_id: str) -> None:
        """Release the key of an attempt that was not and will not be dispatched."""
        self._withdrawn[(key, attempt_id)] = None
        claim = self._claims.get(key)
        if claim is not None and claim.attempt_id == attempt_id:
            del self._claims[key]

    def store_result(self, key: bytes, attempt_id: str, result: StoredResult) -> None:
        """Store the response of the attempt that holds a key."""
        claim = self._claims.get(key)
        if claim is None or claim.attempt_id != attempt_id:
            return
        if len(result.text) <= self._parameters.result_bytes:
            claim.result = result

    def _answer_for(self, claim: _Claim, proposal: ClaimProposal) -> ClaimAnswer:
        if claim.attempt_id == proposal.attempt_id:
            return ClaimAnswer(Verdict.GRANTED)
        return ClaimAnswer(Verdict.HELD, claim.attempt_id, claim.digest, claim.result)

    def _refusal(self, proposal: ClaimProposal, now: float) -> Verdict | None:
        created_at = key_time(proposal.key)
        if proposal.epoch != self._epoch:
            return Verdict.WRONG_EPOCH
        if created_at < now - self._parameters.lifetime:
            return Verdict.EXPIRED
        if created_at > now + self._parameters.skew or self._may_have_forgotten(created_at):
            return Verdict.ABSTAINED
        if (proposal.key, proposal.attempt_id) in self._withdrawn:
            return Verdict.ABSTAINED
        return None

    def _may_have_forgotten(self, created_at: float) -> bool:
        if not is_enabled(Mechanism.RESTART_ABSTENTION):
            return False
        margin = RESTART_MARGIN_IN_SKEWS * self._parameters.skew
        return created_at <= self._complete_since + margin

    def _drop_expired(self, now: float) -> None:
        """Drop expired claims, oldest grants first; an expired key is not granted again."""
        limit = now - self._parameters.lifetime
        while self._claims:
            key = next(iter(self._claims))
            if key_time(key) >= limit:
                break
            del self._claims[key]
        while self._withdrawn and key_time(next(iter(self._withdrawn))[0]) < limit:
            self._withdrawn.popitem(last=False)


@dataclass(frozen=True, slots=True)
class ClaimGroup:
    """The members that keep claims.

    Attributes:
        previous_members: the members before a change in progress, or empty.
    """

    epoch: int
    members: frozenset[str]
    previous_members: frozenset[str] = frozenset()

    @property
    def all_members(self) -> frozenset[str]:
        """All nodes that receive a proposal."""
        return self.members | self.previous_members

    @property
    def quorum_sets(self) -> list[frozenset[str]]:
        """The sets of members in each of which a majority is needed."""
        return [group for group in (self.members, self.previous_members) if group]


class RoundState(Enum):
    """The state of a claim round."""

    PENDING = "pending"
    GRANTED = "granted"
    HELD = "held"
    REUSED = "reused"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


@dataclass(slots=True)
class ClaimRound:
    """Collects the members' responses to a proposal until the claim is decided."""

    group: ClaimGroup
    proposal: ClaimProposal
    _answers: dict[str, ClaimAnswer] = field(default_factory=dict)
    _unresponsive: set[str] = field(default_factory=set)

    def record_answer(self, member: str, answer: ClaimAnswer) -> None:
        """Record a member's response."""
        self._answers[member] = answer

    def record_no_answer(self, member: str) -> None:
        """Record that a member did not respond; it may have granted the key."""
        self._unresponsive.add(member)

    @property
    def state(self) -> RoundState:
        """The current state of the round.

        A round that is not granted waits for every response, since any may contain the result of
        the attempt that holds the key.
        """
        if all(self._has_majority(group) for group in self.group.quorum_sets):
            return RoundState.GRANTED
        if self.result is not None:
            return RoundState.HELD
        if len(self._answers) + len(self._unresponsive) < len(self.group.all_members):
            return RoundState.PENDING
        return self._failure()

    @property
    def result(self) -> StoredResult | None:
        """The stored response of the attempt that holds the key, if a member sent it."""
        matching = [a for a in self._held() if a.holder_digest == self.proposal.digest]
        return next((answer.result for answer in matching if answer.result), None)

    def _failure(self) -> RoundState:
        held = self._held()
        if any(answer.holder_digest != self.proposal.digest for answer in held):
            return RoundState.REUSED
        if held:
            return RoundState.HELD
        if any(a.verdict is Verdict.EXPIRED for a in self._answers.values()):
            return RoundState.EXPIRED
        return RoundState.UNAVAILABLE

    def _held(self) -> list[ClaimAnswer]:
        return [a for a in self._answers.values() if a.verdict is Verdict.HELD]

    def _has_majority(self, group: frozenset[str]) -> bool:
        answers = [self._answers.get(member) for member in group]
        granted = [a for a in answers if a is not None and a.verdict is Verdict.GRANTED]
        return len(granted) > len(group) // 2
