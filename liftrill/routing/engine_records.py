"""Versioned records about engines that nodes gossip to each other; sans-IO.

A listing is an entry of the platform's machine list; its version is the index of the list. An
observation is the identity that an engine reported; its version is the incarnation and revision.
A record only replaces an older version, so late and repeated gossip has no effect.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from liftrill.coordination.dissemination import RumourTable
from liftrill.coordination.key_value_store import MachineList
from liftrill.routing.engine_state import EngineIdentity, EngineListing, EngineTable


@dataclass(frozen=True, slots=True)
class EngineObservation:
    """The identity of an engine, as a node read it from the engine."""

    engine_id: str
    identity: EngineIdentity


class EngineRecords:
    """Stores the records, applies them to the engine table and selects those to gossip."""

    def __init__(self, table: EngineTable, retransmission_factor: int) -> None:
        self._table = table
        self._listings: RumourTable[str, EngineListing] = RumourTable(retransmission_factor)
        self._observations: RumourTable[str, EngineObservation] = RumourTable(retransmission_factor)

    @property
    def pending(self) -> int:
        """The number of records that are still to be gossiped."""
        return self._listings.pending + self._observations.pending

    def listings(self) -> list[EngineListing]:
        """Return all listings, including those of removed engines."""
        return list(self._listings)

    def observations(self) -> list[EngineObservation]:
        """Return all observations."""
        return list(self._observations)

    def offer_listings(self, listings: Iterable[EngineListing], spread: bool = True) -> int:
        """Apply listings and return how many were newer; set `spread` to False for a snapshot."""
        return sum(self._offer_listing(listing, spread) for listing in listings)

    def offer_observation(self, observation: EngineObservation, spread: bool = True) -> bool:
        """Apply an observation; True if it was newer. Set `spread` to False for a snapshot."""
        identity = observation.identity
        key = observation.engine_id
        if not self._observations.offer(key, identity.version, observation, spread):
            return False
        engine = self._table.get(observation.engine_id)
        if engine is not None:
            engine.apply_identity(identity)
        return True

    def offer_machine_list(self, machine_list: MachineList) -> int:
        """Apply the platform's machine list; return the number of new, changed and removed entries.

        Unchanged entries keep their version, so that they are not gossiped again.
        """
        listed = {
            machine.machine_id: EngineListing(
                machine.machine_id,
                machine.address,
                machine.zone,
                machine.service,
                machine.leaving,
                machine_list.index,
            )
            for machine in machine_list.machines
        }
        changed = [listing for listing in listed.values() if self._is_changed(listing)]
        changed.extend(self._removals(listed, machine_list.index))
        return self.offer_listings(changed)

    def take_listings(self, count: int, members: int) -> list[EngineListing]:
        """Return up to `count` listings to piggyback on a message."""
        return self._listings.take(count, members)

    def take_observations(self, count: int, members: int) -> list[EngineObservation]:
        """Return up to `count` observations to piggyback on a message."""
        return self._observations.take(count, members)

    def _offer_listing(self, listing: EngineListing, spread: bool) -> bool:
        if not self._listings.offer(listing.engine_id, listing.version, listing, spread):
            return False
        self._table.apply_listing(listing)
        self._reapply_observation(listing)
        return True

    def _reapply_observation(self, listing: EngineListing) -> None:
        """Apply the known observation to an engine that was listed or replaced after it."""
        engine = self._table.get(listing.engine_id)
        observation = self._observations.get(listing.engine_id)
        if engine is not None and observation is not None:
            engine.apply_identity(observation.identity)

    def _is_changed(self, listing: EngineListing) -> bool:
        known = self._listings.get(listing.engine_id)
        if known is None or known.removed:
            return True
        return (known.address, known.zone, known.pool, known.leaving) != (
            listing.address,
            listing.zone,
            listing.pool,
            listing.leaving,
        )

    def _removals(self, listed: dict[str, EngineListing], index: int) -> list[EngineListing]:
        return [
            EngineListing(
                known.engine_id, known.address, known.zone, known.pool, True, index, removed=True
            )
            for known in self._listings
            if known.engine_id not in listed and not known.removed
        ]
