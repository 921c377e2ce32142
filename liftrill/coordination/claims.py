"""Claims: at most one attempt per key, without a store, sans-IO.

A key is a UUIDv7, so it carries the time at which its caller made it. An attempt may be
dispatched only after a majority of the claim group granted it the key. A member grants a
key to one attempt and remembers that until the key is older than the claim lifetime;
from then on it refuses the key.

Members keep nothing on disk. A member that restarted has forgotten its grants, but it
can only have granted keys that were made before it restarted, give or take the clocks'
error: it abstains for those, and serves younger keys at once.

While the group changes, a claim needs a majority of the old and of the new members, so
that nodes which have not heard of the change still meet those which have. The change may
be completed once a majority of the old members has adopted it.

docs/design/claims.md gives the argument and the ways that were weighed;
spec/claims.py is the model.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from liftrill.mechanisms import Mechanism, is_enabled

KEY_BYTES = 16
MILLISECONDS_SHIFT = 80
# A grant can be for a key up to one skew in the future, by a clock one skew fast; the
# restarted member's own clock may be one skew slow.
RESTART_MARGIN_IN_SKEWS = 3


def key_time(key: bytes) -> float:
    """Return when a UUIDv7 was made, in Unix seconds (RFC 9562, section 5.7)."""
    return (int.from_bytes(key, "big") >> MILLISECONDS_SHIFT) / 1000


class Verdict(Enum):
    """A member's answer."""

    GRANTED = "granted"
    HELD = "held"
    ABSTAINED = "abstained"
    WRONG_EPOCH = "wrong_epoch"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class StoredResult:
    """The answer of a finished request."""

    text: str
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    weight_version: str


@dataclass(frozen=True, slots=True)
class ClaimProposal:
    """Asks a member to grant a key to an attempt.

    Attributes:
        digest: of the tenant and the body, so that a key cannot be used for two requests.
        epoch: the version of the group that the proposer knows.
    """

    key: bytes
    attempt_id: str
    digest: bytes
    epoch: int


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """A member's answer; the holder's fields are set with HELD."""

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
    """Times in seconds.

    Attributes:
        lifetime: how long after its making a key is remembered, and refused afterwards.
        skew: the largest error of any machine's clock.
        capacity: the most claims that a member keeps; beyond it abstains.
        result_bytes: the longest answer that is kept.
    """

    lifetime: float
    skew: float
    capacity: int
    result_bytes: int


class ClaimMember:
    """One member of the claim group. Times are Unix seconds."""

    def __init__(self, parameters: ClaimParameters, started_at: float) -> None:
        self._parameters = parameters
        self._remembers_since = started_at
        self._claims: OrderedDict[bytes, _Claim] = OrderedDict()
        self._withdrawn: OrderedDict[tuple[bytes, str], None] = OrderedDict()
        self._epoch = 0

    def __len__(self) -> int:
        return len(self._claims)

    def adopt_epoch(self, epoch: int, now: float) -> None:
        """Serve proposals of another epoch from now on.

        Claims stay. For keys it does not know, the member counts as restarted: other
        members may have granted them in an earlier epoch.
        """
        if epoch > self._epoch:
            self._epoch = epoch
            self._remembers_since = now

    def propose(self, proposal: ClaimProposal, now: float) -> ClaimAnswer:
        """Grant the key to the attempt, or say why not."""
        claim = self._claims.get(proposal.key)
        if claim is not None:
            return self._answer_for(claim, proposal)
        verdict = self._refusal(proposal, now)
        if verdict is not None:
            return ClaimAnswer(verdict)
        self._forget_expired(now)
        if len(self._claims) >= self._parameters.capacity:
            return ClaimAnswer(Verdict.ABSTAINED)
        self._claims[proposal.key] = _Claim(proposal.attempt_id, proposal.digest)
        return ClaimAnswer(Verdict.GRANTED)

    def withdraw(self, key: bytes, attempt_id: str) -> None:
        """Release a key for an attempt that was not and will never be dispatched."""
        self._withdrawn[(key, attempt_id)] = None
        claim = self._claims.get(key)
        if claim is not None and claim.attempt_id == attempt_id:
            del self._claims[key]

    def store_result(self, key: bytes, attempt_id: str, result: StoredResult) -> None:
        """Keep the answer of the attempt that holds a key."""
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
        made_at = key_time(proposal.key)
        if proposal.epoch != self._epoch:
            return Verdict.WRONG_EPOCH
        if made_at < now - self._parameters.lifetime:
            return Verdict.EXPIRED
        if made_at > now + self._parameters.skew or self._may_have_forgotten(made_at):
            return Verdict.ABSTAINED
        if (proposal.key, proposal.attempt_id) in self._withdrawn:
            return Verdict.ABSTAINED
        return None

    def _may_have_forgotten(self, made_at: float) -> bool:
        if not is_enabled(Mechanism.RESTART_ABSTENTION):
            return False
        margin = RESTART_MARGIN_IN_SKEWS * self._parameters.skew
        return made_at <= self._remembers_since + margin

    def _forget_expired(self, now: float) -> None:
        """Drop expired claims, oldest grants first; an expired key is never granted again."""
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
    """Who keeps claims.

    Attributes:
        previous_members: the members before a change that is under way, or empty.
    """

    epoch: int
    members: frozenset[str]
    previous_members: frozenset[str] = frozenset()

    @property
    def all_members(self) -> frozenset[str]:
        """All nodes that a proposal goes to."""
        return self.members | self.previous_members

    @property
    def quorum_sets(self) -> list[frozenset[str]]:
        """The sets of which a majority each is needed."""
        return [group for group in (self.members, self.previous_members) if group]


class RoundState(Enum):
    """Where a claim round stands."""

    PENDING = "pending"
    GRANTED = "granted"
    HELD = "held"
    REUSED = "reused"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


@dataclass(slots=True)
class ClaimRound:
    """The proposer's side: collects answers until the claim is decided."""

    group: ClaimGroup
    proposal: ClaimProposal
    _answers: dict[str, ClaimAnswer] = field(default_factory=dict)
    _silent: set[str] = field(default_factory=set)

    def record_answer(self, member: str, answer: ClaimAnswer) -> None:
        """Take in a member's answer."""
        self._answers[member] = answer

    def record_no_answer(self, member: str) -> None:
        """Note that a member did not answer; it may still have granted."""
        self._silent.add(member)

    @property
    def state(self) -> RoundState:
        """What can be said now.

        A round that cannot be granted waits for every answer, since any may bring the
        result of the attempt that holds the key.
        """
        if all(self._has_majority(group) for group in self.group.quorum_sets):
            return RoundState.GRANTED
        if self.result is not None:
            return RoundState.HELD
        if len(self._answers) + len(self._silent) < len(self.group.all_members):
            return RoundState.PENDING
        return self._failure()

    @property
    def result(self) -> StoredResult | None:
        """The answer of the attempt that holds the key, if a member has it."""
        same = [a for a in self._held() if a.holder_digest == self.proposal.digest]
        return next((answer.result for answer in same if answer.result), None)

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
