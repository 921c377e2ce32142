"""What is told at once of spending under a limit, and how it is taken back, sans-IO.

Each notice of spending has a number. One that takes it back names the same number, and counts
only where the spending was heard and is not taken back yet: so either counts once however
often it comes, and a refund nowhere where the spending was lost.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

# For how long a spending can be taken back: requests that engines shed, or that wait in vain for
# room, end within the fraction of a second that callers wait for a first answer.
TAKEN_BACK_WITHIN_S = 2.0
# How many notices of others are remembered: 2,000 a second for as long as they can be taken
# back. 0.6 MB at the most (150 bytes each); what is forgotten stays charged.
NOTICES_KEPT = 4_096


@dataclass(frozen=True, slots=True)
class SpendingNotice:
    """Word of what a request spends of its tenant's limit, or of that being taken back.

    Attributes:
        amount: units; below 0 where they are taken back.
        number: names the spending among those of its node, or 0 where nothing takes it back.
    """

    tenant: str
    amount: float
    number: int = 0


@dataclass(slots=True)
class SentNotices:
    """What a node has told lately of its own spending.

    Attributes:
        number: of the last one; begins at another number in each life of a node.
    """

    number: int
    _told: dict[str, deque[tuple[float, SpendingNotice]]] = field(default_factory=dict)

    def spend(self, tenant: str, amount: float, now: float) -> SpendingNotice:
        """Return the notice of a spending."""
        self.number += 1
        notice = SpendingNotice(tenant, amount, self.number)
        self._of(tenant, now).append((now, notice))
        return notice

    def take_back(self, tenant: str, amount: float, now: float) -> SpendingNotice | None:
        """Return the notice that takes back a spending of some units, if one was told lately.

        Which one does not matter: notices of as many units of a tenant are all worth the same.
        """
        told = self._of(tenant, now)
        for entry in reversed(told):
            if entry[1].amount == amount:
                told.remove(entry)
                return SpendingNotice(tenant, -amount, entry[1].number)
        return None

    def _of(self, tenant: str, now: float) -> deque[tuple[float, SpendingNotice]]:
        told = self._told.setdefault(tenant, deque())
        while told and now - told[0][0] > TAKEN_BACK_WITHIN_S:
            told.popleft()
        return told


@dataclass(slots=True)
class ReceivedNotices:
    """What others told lately of their spending, as far as it can still be taken back."""

    _heard: OrderedDict[tuple[str, int], tuple[float, float]] = field(default_factory=OrderedDict)

    def charge(self, sender: str, notice: SpendingNotice, now: float) -> float:
        """Return the units that a notice charges: below 0 where it takes back, or 0."""
        if not notice.number:
            return notice.amount
        name = (sender, notice.number)
        if notice.amount < 0.0:
            return self._take_back(name, now)
        if name in self._heard:
            return 0.0
        self._heard[name] = (now, notice.amount)
        if len(self._heard) > NOTICES_KEPT:
            self._heard.popitem(last=False)
        return notice.amount

    def _take_back(self, name: tuple[str, int], now: float) -> float:
        heard_at, amount = self._heard.get(name, (now, 0.0))
        if not amount or now - heard_at > TAKEN_BACK_WITHIN_S:
            return 0.0
        # Its number stays known, so that the spending does not count if it comes again.
        self._heard[name] = (heard_at, 0.0)
        return -amount

    def forget(self) -> None:
        """Let nothing that was heard so far be taken back."""
        self._heard.clear()
