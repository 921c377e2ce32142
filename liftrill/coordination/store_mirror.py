"""A copy of a range of the store, kept by reading it once and watching it, sans-IO."""

from dataclasses import dataclass, field

from liftrill.coordination.range_store import RangePage, RemovedItem, StoredItem, WatchBatch
from liftrill.coordination.store_position import era_of


@dataclass(frozen=True, slots=True)
class MirrorChange:
    """What changed for the readers of a mirror.

    Attributes:
        gap: whether the change came from reading the range anew, so that a removal may
            have happened at any time since the last answer.
        restored: whether the store came back from an older copy of itself: what is written is
            old until its writers write again, and what is missing may be there still.
    """

    written: tuple[StoredItem, ...]
    removed: tuple[str, ...]
    gap: bool
    restored: bool = False


@dataclass(slots=True)
class StoreMirror:
    """The items of a range as last heard.

    Pages do not form a snapshot, so the watch goes on from the revision of the first
    page, and an item replaces another only when its revision is higher.

    Attributes:
        at: the position from which a watch goes on; 0 before the first reading. All items are
            of its era: only a whole reading brings a mirror into a later one.
    """

    position: int = 0
    _items: dict[str, StoredItem] = field(default_factory=dict)
    _pages: list[RangePage] = field(default_factory=list)

    def items(self) -> list[StoredItem]:
        """Return all items."""
        return list(self._items.values())

    def get(self, key: str) -> StoredItem | None:
        """Return one item."""
        return self._items.get(key)

    def start_reading(self) -> None:
        """Prepare for the pages of a new reading."""
        self._pages.clear()

    def last_read_key(self) -> str:
        """Return the key after which the next page starts."""
        items = self._pages[-1].items if self._pages else ()
        return items[-1].key if items else ""

    def add_page(self, page: RangePage) -> MirrorChange | None:
        """Take in a page; return what changed once the last one is there."""
        self._pages.append(page)
        if page.more and page.items:
            return None
        first_at = self._pages[0].at
        found = {item.key: item for read in self._pages for item in read.items}
        self._pages.clear()
        # An older copy than what is known, such as a reading from a lagging replica,
        # takes nothing away.
        if first_at < self.position:
            return MirrorChange((), (), gap=True)
        return self._replace(found, first_at)

    def apply_batch(self, batch: WatchBatch) -> MirrorChange:
        """Take in the changes of a watch, or of a mirror that may be behind this one."""
        written: dict[str, StoredItem] = {}
        removed: dict[str, None] = {}
        if self._is_later_era(batch.position):
            return MirrorChange((), (), gap=False)
        for change in batch.changes:
            # All up to `at` is known, removals too: an item that was removed does not return.
            if change.revision <= self.position or self._is_later_era(change.revision):
                continue
            known = self._items.get(change.key)
            # One that is known already is told again: a copy that follows this one may have
            # come to it by another way, and lack it.
            if known is not None and known.revision > change.revision:
                continue
            if isinstance(change, RemovedItem):
                self._forget(change.key, written, removed)
            else:
                self._items[change.key] = change
                written[change.key] = change
                removed.pop(change.key, None)
        self.position = max(self.position, batch.position)
        return MirrorChange(tuple(written.values()), tuple(removed), gap=False)

    def _is_later_era(self, position: int) -> bool:
        return bool(self.position) and era_of(position) > era_of(self.position)

    def _replace(self, found: dict[str, StoredItem], at: int) -> MirrorChange:
        # A copy without an era came from nodes that tell none: the store itself went on.
        restored = era_of(self.position) > 0 and self._is_later_era(at)
        removed = tuple(key for key in self._items if key not in found)
        written = tuple(
            item
            for item in found.values()
            if item.key not in self._items or self._items[item.key].revision < item.revision
        )
        for key in removed:
            del self._items[key]
        for item in written:
            self._items[item.key] = item
        self.position = at
        return MirrorChange(written, removed, gap=True, restored=restored)

    def _forget(self, key: str, written: dict[str, StoredItem], removed: dict[str, None]) -> None:
        written.pop(key, None)
        if self._items.pop(key, None) is not None:
            removed[key] = None
