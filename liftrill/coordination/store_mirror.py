"""A mirror of a range of the store, built by one read and updated by a watch, sans-IO."""

from dataclasses import dataclass, field

from liftrill.coordination.range_store import RangePage, RemovedItem, StoredItem, WatchBatch
from liftrill.coordination.store_position import era_of

# Those of a 64-bit number.
MAX_DIGITS = 20


@dataclass(frozen=True, slots=True)
class MirrorChange:
    """A change of a mirror, for its readers.

    Attributes:
        gap: whether the change comes from reading the whole range again, so that a removal may
            have happened at any time since the last response.
        restored: whether the store was restored from an older copy of itself: written items are
            old until their writers write again, and missing items may still exist.
    """

    written: tuple[StoredItem, ...]
    removed: tuple[str, ...]
    gap: bool
    restored: bool = False


@dataclass(slots=True)
class StoreMirror:
    """The newest known items of a range.

    Pages are not a snapshot, so the watch continues from the position of the first page, and an
    item replaces another one only if its revision is higher.

    Attributes:
        position: the position from which a watch continues; 0 before the first read. All items
            are of the era of this position: only a full read moves a mirror to a later era.
        excluded_prefix: the prefix of keys that are not mirrored, unless it is empty.
    """

    position: int = 0
    excluded_prefix: str = ""
    _items: dict[str, StoredItem] = field(default_factory=dict)
    _pages: list[RangePage] = field(default_factory=list)

    def items(self) -> list[StoredItem]:
        """Return all items."""
        return list(self._items.values())

    def get(self, key: str) -> StoredItem | None:
        """Return the item of a key, or None if the key is absent."""
        return self._items.get(key)

    def number(self, key: str, maximum: int) -> int | None:
        """Return the decimal number that a key holds, or None if it holds none in the range."""
        item = self._items.get(key)
        if item is None or not item.value.isdigit() or len(item.value) > MAX_DIGITS:
            return None
        number = int(item.value)
        return number if number <= maximum else None

    def start_reading(self) -> None:
        """Discard the pages of an unfinished read before a new one."""
        self._pages.clear()

    def last_read_key(self) -> str:
        """Return the last key read so far, after which the next page starts."""
        items = self._pages[-1].items if self._pages else ()
        return items[-1].key if items else ""

    def add_page(self, page: RangePage) -> MirrorChange | None:
        """Add a page; after the last page, apply the read and return the change."""
        self._pages.append(page)
        if page.more and page.items:
            return None
        first_position = self._pages[0].position
        found = {
            item.key: item
            for read in self._pages
            for item in read.items
            if not self._is_excluded(item.key)
        }
        self._pages.clear()
        # A read that is older than the mirror, such as one from a lagging replica, changes
        # nothing.
        if first_position < self.position:
            return MirrorChange((), (), gap=True)
        return self._replace(found, first_position)

    def apply_batch(self, batch: WatchBatch) -> MirrorChange:
        """Apply the changes of a watch, or of another mirror that may be behind this one."""
        written: dict[str, StoredItem] = {}
        removed: dict[str, None] = {}
        if self._is_later_era(batch.position):
            return MirrorChange((), (), gap=False)
        for change in batch.changes:
            # All changes up to `position` are known, including removals: a removed item must not
            # reappear.
            if change.revision <= self.position or self._is_later_era(change.revision):
                continue
            if self._is_excluded(change.key):
                continue
            known = self._items.get(change.key)
            # An item of the same revision is reported again: a replica that follows this mirror
            # may not have it.
            if known is not None and known.revision > change.revision:
                continue
            if isinstance(change, RemovedItem):
                self._remove(change.key, written, removed)
            else:
                self._items[change.key] = change
                written[change.key] = change
                removed.pop(change.key, None)
        self.position = max(self.position, batch.position)
        return MirrorChange(tuple(written.values()), tuple(removed), gap=False)

    def _is_excluded(self, key: str) -> bool:
        return bool(self.excluded_prefix) and key.startswith(self.excluded_prefix)

    def _is_later_era(self, position: int) -> bool:
        return bool(self.position) and era_of(position) > era_of(self.position)

    def _replace(self, found: dict[str, StoredItem], position: int) -> MirrorChange:
        # A mirror in era 0 came from nodes that report no era: the change to a later era does not
        # mean that the store was restored.
        restored = era_of(self.position) > 0 and self._is_later_era(position)
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
        self.position = position
        return MirrorChange(written, removed, gap=True, restored=restored)

    def _remove(self, key: str, written: dict[str, StoredItem], removed: dict[str, None]) -> None:
        written.pop(key, None)
        if self._items.pop(key, None) is not None:
            removed[key] = None
