"""A replica of a versioned, content-addressed configuration.

The head contains a generation and the digest of each section. A replica adopts a head only if its
generation is higher than the one in force and all sections are present with the right digests.
So no source, not even a store restored from an old copy, can revert a replica.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType

from liftrill.errors import ConfigurationError
from liftrill.mechanisms import Mechanism, is_enabled

# Operators are trusted, so only second-preimage resistance matters, not collision resistance.
DIGEST_BYTES = 16


def content_digest(content: bytes) -> bytes:
    """Return the BLAKE2b-128 digest that identifies a section's content."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True, slots=True)
class Head:
    """A generation, and the digests of its sections by section name."""

    generation: int
    section_digests: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class Configuration:
    """A head with the content of all its sections."""

    head: Head
    sections: Mapping[str, bytes]


class Adoption(Enum):
    """The result of offering a head or a section to a replica."""

    ADOPTED = "adopted"
    INCOMPLETE = "incomplete"
    STALE = "stale"


@dataclass(slots=True)
class ConfigurationReplica:
    """The configuration in force, and the sections received so far for a newer head."""

    current: Configuration | None = None
    _contents: dict[bytes, bytes] = field(default_factory=dict)
    _pending: Head | None = None

    @property
    def generation(self) -> int:
        """The generation in force, or 0 if there is no configuration."""
        return self.current.head.generation if self.current else 0

    @property
    def wanted_digests(self) -> list[bytes]:
        """The digests of the sections that are missing for the pending head."""
        if self._pending is None:
            return []
        digests = self._pending.section_digests.values()
        return [digest for digest in digests if digest not in self._contents]

    def offer_head(self, head: Head) -> Adoption:
        """Make a newer head the pending one, and adopt it if all its sections are present.

        Raises:
            ConfigurationError: the head has the generation in force but different digests, which a
                correct store cannot produce.
        """
        if head.generation < self.generation and is_enabled(Mechanism.GENERATION_ORDER):
            return Adoption.STALE
        if self.current and head.generation == self.generation:
            self._check_same_content(head)
            return Adoption.STALE
        forced = not is_enabled(Mechanism.GENERATION_ORDER)
        if forced or self._pending is None or head.generation > self._pending.generation:
            self._pending = head
        return self._try_adopt()

    def offer_section(self, digest: bytes, content: bytes) -> Adoption:
        """Add a missing section; adopt the pending head if all its sections are present.

        Raises:
            ConfigurationError: the content does not match the digest.
        """
        if content_digest(content) != digest:
            raise ConfigurationError(f"content of section {digest.hex()} does not match its digest")
        if digest not in self.wanted_digests:
            return Adoption.STALE
        self._contents[digest] = content
        return self._try_adopt()

    def section_by_digest(self, digest: bytes) -> bytes | None:
        """Return the content of a section, or None if this replica does not have it."""
        return self._contents.get(digest)

    def _check_same_content(self, head: Head) -> None:
        assert self.current is not None
        if dict(head.section_digests) != dict(self.current.head.section_digests):
            raise ConfigurationError(f"conflicting sections for generation {head.generation}")

    def _try_adopt(self) -> Adoption:
        head = self._pending
        if head is None:
            return Adoption.STALE
        if self.wanted_digests:
            return Adoption.INCOMPLETE
        sections = {name: self._contents[d] for name, d in head.section_digests.items()}
        self.current = Configuration(head, MappingProxyType(sections))
        # Only the sections in force are kept, so that unchanged ones are not fetched again.
        self._contents = {d: self._contents[d] for d in head.section_digests.values()}
        self._pending = None
        return Adoption.ADOPTED
