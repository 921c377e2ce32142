"""Who tells whom of loads on engines, sans-IO.

Few nodes tell each other directly. Among many, a node tells its own zone; the zone's
delegate tells the sum to the delegates of the other zones, which pass it on at home: to one
node of each group, which passes it on to its group. A report then crosses between zones once
for each pair of zones, not of nodes, and no link has to carry it to a whole zone: 30 reports
of 2 KB take a link of 5 Mbit/s a tenth of a second, and most of them are lost in its queue.
"""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum, auto

from liftrill.coordination import rendezvous
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.quota import QuotaReport
from liftrill.gateway.engines.prefix_directory import PartLocation, PartUpdates
from liftrill.gateway.engines.speed_estimator import SpeedRow
from liftrill.gateway.peers.able_nodes import able
from liftrill.gateway.peers.load_board import LoadBoard, LoadByEngine
from liftrill.gateway.peers.node_capacity import NodeWord

DELEGATE_KEY = b"load delegate "
# With more, words from each to each cost more than sums that come later.
DIRECT_NODES = 12
# Between two words of a node: sooner than a prompt is read, and longer in large zones so that
# each node hears about as many a second.
SHORTEST_INTERVAL_S = 0.1
INTERVAL_PER_NODE_S = 0.01
LONGEST_INTERVAL_S = 0.4


class LoadScope(Enum):
    """Whose work a report counts."""

    NODE = auto()
    ZONE_SUM = auto()
    RELAYED_SUM = auto()
    GROUP_SUM = auto()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Work on engines, as one node or one zone has it, and what they sent to kept stores.

    Attributes:
        speeds: how fast engines worked lately; told in reports of their own.
        node_word: what the node, or the zone in all, can bear and bears.
    """

    scope: LoadScope
    node: str
    zone: str
    loads: LoadByEngine
    kept: tuple[PartLocation, ...] = ()
    quota: QuotaReport | None = None
    speeds: tuple[SpeedRow, ...] = ()
    node_word: NodeWord | None = None


@dataclass(frozen=True, slots=True)
class SendLoads:
    """Send a report to some members."""

    report: LoadReport
    members: tuple[Member, ...]


class LoadTopology(ABC):
    """Decide which members a node's word goes to."""

    @abstractmethod
    def interval_s(self, own: Member, members: Iterable[Member]) -> float:
        """Return the time between two words of a node."""

    @abstractmethod
    def own_word(
        self, own: Member, board: LoadBoard, kept: PartUpdates, members: list[Member]
    ) -> list[SendLoads]:
        """Return what a node tells of its own accord."""

    @abstractmethod
    def relayed(self, own: Member, report: LoadReport, members: list[Member]) -> list[SendLoads]:
        """Return what a node passes on of a report that it received."""


class Direct(LoadTopology):
    """Tell every member."""

    def interval_s(self, own: Member, members: Iterable[Member]) -> float:
        """Return the shortest interval."""
        return SHORTEST_INTERVAL_S

    def own_word(
        self, own: Member, board: LoadBoard, kept: PartUpdates, members: list[Member]
    ) -> list[SendLoads]:
        """Return one report for all others."""
        report = LoadReport(LoadScope.NODE, own.node_id, own.zone, board.own_loads(), kept.own)
        return [SendLoads(report, others(own, members))]

    def relayed(self, own: Member, report: LoadReport, members: list[Member]) -> list[SendLoads]:
        """Return nothing: everyone was told."""
        return []


class ByZone(LoadTopology):
    """Tell the own zone each node's load, and the other zones the sum."""

    def interval_s(self, own: Member, members: Iterable[Member]) -> float:
        """Return an interval that keeps the words a node receives in bounds."""
        local = sum(member.zone == own.zone for member in members)
        return min(LONGEST_INTERVAL_S, max(SHORTEST_INTERVAL_S, local * INTERVAL_PER_NODE_S))

    def own_word(
        self, own: Member, board: LoadBoard, kept: PartUpdates, members: list[Member]
    ) -> list[SendLoads]:
        """Return a report for the zone, and the delegate's sum for the other zones."""
        report = LoadReport(LoadScope.NODE, own.node_id, own.zone, board.own_loads(), kept.own)
        local = tuple(m for m in others(own, members) if m.zone == own.zone)
        words = [SendLoads(report, local)]
        delegates = delegates_by_zone(members)
        delegate = delegates.get(own.zone)
        if delegate is not None and delegate.node_id == own.node_id:
            remote = tuple(m for zone, m in delegates.items() if zone != own.zone)
            loads = board.zone_sum(own.zone)
            total = LoadReport(LoadScope.ZONE_SUM, own.node_id, own.zone, loads, kept.zone)
            words.append(SendLoads(total, remote))
        return words

    def relayed(self, own: Member, report: LoadReport, members: list[Member]) -> list[SendLoads]:
        """Return the report on another zone's sum for the own zone, or for the own group."""
        if report.zone == own.zone:
            return []
        groups = groups_of_zone(own, members)
        if report.scope is LoadScope.ZONE_SUM:
            chosen = (random.choice(others(own, g)) for g in groups if own not in g)
            passed = replace(report, scope=LoadScope.GROUP_SUM, node=own.node_id)
            return [SendLoads(passed, tuple(chosen)), *_to_group(own, report, groups)]
        if report.scope is LoadScope.GROUP_SUM:
            return _to_group(own, report, groups)
        return []


def groups_of_zone(own: Member, members: Iterable[Member]) -> list[list[Member]]:
    """Return the members of the own zone in groups, as many as each has members."""
    local = {member.node_id: member for member in members if member.zone == own.zone}
    local[own.node_id] = own
    names = sorted(local)
    size = math.isqrt(len(names) - 1) + 1
    cuts = (names[start : start + size] for start in range(0, len(names), size))
    return [[local[name] for name in cut] for cut in cuts]


def _to_group(own: Member, report: LoadReport, groups: list[list[Member]]) -> list[SendLoads]:
    group = next(group for group in groups if own in group)
    passed = replace(report, scope=LoadScope.RELAYED_SUM, node=own.node_id)
    return [SendLoads(passed, others(own, group))]


def topology_for(members: list[Member]) -> LoadTopology:
    """Return the topology that suits a number of members."""
    return Direct() if len(members) <= DIRECT_NODES else ByZone()


def others(own: Member, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members that are not this node."""
    return tuple(member for member in members if member.node_id != own.node_id)


def delegates_by_zone(members: Iterable[Member]) -> dict[str, Member]:
    """Return the member of each zone that speaks for it."""
    zones: dict[str, list[Member]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    found: dict[str, Member] = {}
    for zone, local in zones.items():
        by_id = {member.node_id: member for member in able(local)}
        first = rendezvous.first(DELEGATE_KEY + zone.encode(), by_id)
        if first is not None:
            found[zone] = by_id[first]
    return found
