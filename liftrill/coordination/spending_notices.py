"""Notices of quota spending that are sent immediately, and their refunds, sans-IO.

Each spending notice has a number. Its refund carries the same number, and counts only where the
spending was received and not refunded yet. So each counts once, however often it is received,
and a refund has no effect where the spending notice was lost.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

# How long spending can be refunded: requests that engines shed, or that time out in the queue,
# end within the fraction of a second that callers wait for a first answer.
REFUND_WINDOW_S = 2.0
# The maximum number of received notices that are kept: 2,000 a second for as long as they can be
# refunded. At most 0.6 MB (150 bytes each); the spending of evicted notices stays charged.
MAX_NOTICES = 4_096


@dataclass(frozen=True, slots=True)
class SpendingNotice:
    """Units that a request spends of its tenant's limit, or their refund.

    Attributes:
        amount: units; negative for a refund.
        number: identifies the spending among those of its node; 0 if it is never refunded.
    """

    tenant: str
    amount: float
    number: int = 0


@dataclass(slots=True)
class SentNotices:
    """The recent spending notices of this node.

    Attributes:
        number: the number of the last notice; starts at another number in each run of a node.
    """

    number: int
    _sent: dict[str, deque[tuple[float, SpendingNotice]]] = field(default_factory=dict)

    def spend(self, tenant: str, amount: float, now: float) -> SpendingNotice:
        """Return a notice of spending."""
        self.number += 1
        notice = SpendingNotice(tenant, amount, self.number)
        self._recent(tenant, now).append((now, notice))
        return notice

    def refund(self, tenant: str, amount: float, now: float) -> SpendingNotice | None:
        """Return the refund of a recent notice of this amount, or None if there is none.

        Any such notice will do: those of the same tenant and amount are interchangeable.
        """
        sent = self._recent(tenant, now)
        for entry in reversed(sent):
            if entry[1].amount == amount:
                sent.remove(entry)
                return SpendingNotice(tenant, -amount, entry[1].number)
        return None

    def _recent(self, tenant: str, now: float) -> deque[tuple[float, SpendingNotice]]:
        sent = self._sent.setdefault(tenant, deque())
        while sent and now - sent[0][0] > REFUND_WINDOW_S:
            sent.popleft()
        return sent


@dataclass(slots=True)
class ReceivedNotices:
    """The recent spending notices of other nodes that can still be refunded."""

    _notices: OrderedDict[tuple[str, int], tuple[float, float]] = field(default_factory=OrderedDict)

    def charge(self, sender: str, notice: SpendingNotice, now: float) -> float:
        """Return the units that a notice charges: negative for a refund, 0 if it does not count."""
        if not notice.number:
            return notice.amount
        notice_id = (sender, notice.number)
        if notice.amount < 0.0:
            return self._refund(notice_id, now)
        if notice_id in self._notices:
            return 0.0
        self._notices[notice_id] = (now, notice.amount)
        if len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)
        return notice.amount

    def _refund(self, notice_id: tuple[str, int], now: float) -> float:
        received_at, amount = self._notices.get(notice_id, (now, 0.0))
        if not amount or now - received_at > REFUND_WINDOW_S:
            return 0.0
        # The number is kept, so that a repeated spending notice does not count.
        self._notices[notice_id] = (received_at, 0.0)
        return -amount

    def clear(self) -> None:
        """Drop all notices, so that those received so far cannot be refunded."""
        self._notices.clear()
