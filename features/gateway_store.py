"""An in-memory store with its own clock, for features of coordination."""

from liftrill.coordination.range_store import (
    ConditionFailedError,
    HistoryGoneError,
    LeaseGoneError,
    RangePage,
    RangeStore,
    ReadResult,
    RemovedItem,
    StoredItem,
    WatchBatch,
)
from liftrill.errors import StoreAnswerLostError


class MemoryStore(RangeStore):
    """Keeps items, leases and the history of changes.

    Attributes:
        now: the time of the store's clock, in seconds.
        revision_per_item: whether each item that a transaction writes gets its own revision.
        answers_to_lose: how many transactions take effect without an answer to the client.
        page_size: the most items of one page of a range read.
        renewals: how many lease renewals took effect.
        should_lose_renewal: whether the answer to a renewal is lost, by its number and time.
    """

    def __init__(self):
        self.now = 0.0
        self.revision = 1
        self.revision_per_item = False
        self.items = {}
        self.leases = {}
        self.changes = []
        self.answers_to_lose = 0
        self.page_size = 500
        self.renewals = 0
        self.should_lose_renewal = lambda number, now: False

    def put(self, key, value, lease=0):
        self.revision += 1
        self.items[key] = StoredItem(key, value, self.revision, lease)
        self.changes.append(self.items[key])

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.changes.append(RemovedItem(key, self.revision))

    def advance(self, seconds):
        self.now += seconds
        for lease, (expires_at, _) in list(self.leases.items()):
            if expires_at <= self.now:
                self.drop_lease(lease)

    def drop_lease(self, lease):
        self.leases.pop(lease, None)
        for item in [i for i in self.items.values() if i.lease == lease]:
            self.remove(item.key)

    def forget_history(self):
        self.changes.clear()

    async def read(self, key):
        return ReadResult(self.items.get(key), self.revision)

    async def read_range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = tuple(self.items[k] for k in keys[: self.page_size])
        return RangePage(page, self.revision, len(keys) > self.page_size)

    async def watch(self, prefix, after_revision, wait_seconds):
        oldest = self.changes[0].revision if self.changes else self.revision + 1
        if after_revision + 1 < oldest and after_revision < self.revision:
            raise HistoryGoneError(f"no history before revision {oldest}")
        changes = [c for c in self.changes if c.revision > after_revision]
        return WatchBatch(tuple(c for c in changes if c.key.startswith(prefix)), self.revision)

    async def transact(self, expected, puts, removed=()):
        for condition in expected:
            item = self.items.get(condition.key)
            if (item.revision if item else 0) != condition.revision:
                raise ConditionFailedError(condition.key)
        if any(put.lease and put.lease not in self.leases for put in puts):
            raise LeaseGoneError("a lease of the transaction does not exist")
        self.revision += 0 if self.revision_per_item else 1
        for put in puts:
            self.revision += self.revision_per_item
            self.items[put.key] = StoredItem(put.key, put.value, self.revision, put.lease)
            self.changes.append(self.items[put.key])
        for key in removed:
            self.items.pop(key, None)
            self.changes.append(RemovedItem(key, self.revision))
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise StoreAnswerLostError("the answer was lost")
        return self.revision

    async def grant_lease(self, seconds):
        self.revision += 1
        self.leases[self.revision] = (self.now + seconds, seconds)
        return self.revision

    async def renew_lease(self, lease):
        if lease not in self.leases:
            raise LeaseGoneError(f"lease {lease} does not exist")
        seconds = self.leases[lease][1]
        self.leases[lease] = (self.now + seconds, seconds)
        self.renewals += 1
        if self.should_lose_renewal(self.renewals, self.now):
            raise StoreAnswerLostError("the answer was lost")

    async def revoke_lease(self, lease):
        self.drop_lease(lease)
