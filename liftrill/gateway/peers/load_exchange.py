"""Decides which nodes send load reports to which, sans-IO.

In a small fleet all nodes report to each other. In a large one a node reports to its own zone. The
zone's delegate sends the sum to the delegates of the other zones. These relay it within their
zones: to one node of each group, which relays it to its group. So a report crosses between zones
once for each pair of zones, not of nodes, and no node sends it to a whole zone: 30 reports of 2 KB
occupy a link of 5 Mbit/s for a tenth of a second, and most of them are lost in its queue.
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
from liftrill.gateway.peers.capable_nodes import capable_members
from liftrill.gateway.peers.load_table import LoadByEngine, LoadTable
from liftrill.gateway.peers.node_capacity import NodeLoad

DELEGATE_KEY = b"load delegate "
# With more nodes, all-to-all reports cost more than the later arrival of zone sums.
MAX_DIRECT_NODES = 12
# Interval between the reports of a node: shorter than the prefill of a prompt, and longer in large
# zones, so that each node receives about the same number of reports a second.
MIN_INTERVAL_S = 0.1
INTERVAL_PER_NODE_S = 0.01
MAX_INTERVAL_S = 0.4


class LoadScope(Enum):
    """The nodes whose load a report covers, and how it was relayed."""

    NODE = auto()
    ZONE_SUM = auto()
    RELAYED_SUM = auto()
    GROUP_SUM = auto()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of one node or one zone on engines, and other state that is sent with it.

    Attributes:
        part_locations: shared prompt parts that engines prefill, hold or have saved.
        speeds: recent speeds of engines; sent in separate reports.
        node_load: capacity and utilization of the node, or of the zone.
    """

    scope: LoadScope
    node: str
    zone: str
    loads: LoadByEngine
    part_locations: tuple[PartLocation, ...] = ()
    quota: QuotaReport | None = None
    speeds: tuple[SpeedRow, ...] = ()
    node_load: NodeLoad | None = None


@dataclass(frozen=True, slots=True)
class SendReport:
    """An instruction to send a report to some members."""

    report: LoadReport
    members: tuple[Member, ...]


class LoadTopology(ABC):
    """Decides which members a node's reports go to."""

    @abstractmethod
    def interval_s(self, own: Member, members: Iterable[Member]) -> float:
        """Return the time between two reports of a node."""

    @abstractmethod
    def own_reports(
        self, own: Member, table: LoadTable, updates: PartUpdates, members: list[Member]
    ) -> list[SendReport]:
        """Return the reports of a node on its own load, and on its zone's if it is the delegate."""

    @abstractmethod
    def relayed_reports(
        self, own: Member, report: LoadReport, members: list[Member]
    ) -> list[SendReport]:
        """Return the reports with which a node relays a received one."""


class DirectTopology(LoadTopology):
    """Every node reports to every other member."""

    def interval_s(self, own: Member, members: Iterable[Member]) -> float:
        """Return the minimum interval."""
        return MIN_INTERVAL_S

    def own_reports(
        self, own: Member, table: LoadTable, updates: PartUpdates, members: list[Member]
    ) -> list[SendReport]:
        """Return one report for all other members."""
        report = LoadReport(LoadScope.NODE, own.node_id, own.zone, table.own_loads(), updates.own)
        return [SendReport(report, other_members(own, members))]

    def relayed_reports(
        self, own: Member, report: LoadReport, members: list[Member]
    ) -> list[SendReport]:
        """Return nothing: the sender reported to every member."""
        return []


class ZoneTopology(LoadTopology):
    """Nodes report to their own zone, and its delegate reports the sum to the other zones."""

    def interval_s(self, own: Member, members: Iterable[Member]) -> float:
        """Return an interval that bounds the rate of reports a node receives."""
        local = sum(member.zone == own.zone for member in members)
        return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, local * INTERVAL_PER_NODE_S))

    def own_reports(
        self, own: Member, table: LoadTable, updates: PartUpdates, members: list[Member]
    ) -> list[SendReport]:
        """Return a report for the own zone, and the delegate's sum for the other zones."""
        report = LoadReport(LoadScope.NODE, own.node_id, own.zone, table.own_loads(), updates.own)
        local = tuple(m for m in other_members(own, members) if m.zone == own.zone)
        deliveries = [SendReport(report, local)]
        delegates = delegates_by_zone(members)
        delegate = delegates.get(own.zone)
        if delegate is not None and delegate.node_id == own.node_id:
            remote = tuple(m for zone, m in delegates.items() if zone != own.zone)
            loads = table.zone_sum(own.zone)
            total = LoadReport(LoadScope.ZONE_SUM, own.node_id, own.zone, loads, updates.zone)
            deliveries.append(SendReport(total, remote))
        return deliveries

    def relayed_reports(
        self, own: Member, report: LoadReport, members: list[Member]
    ) -> list[SendReport]:
        """Return the sum of another zone, to be relayed to the own zone or the own group."""
        if report.zone == own.zone:
            return []
        groups = groups_of_zone(own, members)
        if report.scope is LoadScope.ZONE_SUM:
            chosen = (random.choice(other_members(own, g)) for g in groups if own not in g)
            forwarded = replace(report, scope=LoadScope.GROUP_SUM, node=own.node_id)
            return [SendReport(forwarded, tuple(chosen)), *_group_report(own, report, groups)]
        if report.scope is LoadScope.GROUP_SUM:
            return _group_report(own, report, groups)
        return []


def groups_of_zone(own: Member, members: Iterable[Member]) -> list[list[Member]]:
    """Return the members of the own zone in about as many groups as each group has members."""
    local = {member.node_id: member for member in members if member.zone == own.zone}
    local[own.node_id] = own
    names = sorted(local)
    size = math.isqrt(len(names) - 1) + 1
    slices = (names[start : start + size] for start in range(0, len(names), size))
    return [[local[name] for name in group] for group in slices]


def _group_report(own: Member, report: LoadReport, groups: list[list[Member]]) -> list[SendReport]:
    group = next(group for group in groups if own in group)
    forwarded = replace(report, scope=LoadScope.RELAYED_SUM, node=own.node_id)
    return [SendReport(forwarded, other_members(own, group))]


def topology_for(members: list[Member]) -> LoadTopology:
    """Return the topology for the number of members."""
    return DirectTopology() if len(members) <= MAX_DIRECT_NODES else ZoneTopology()


def other_members(own: Member, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members other than this node."""
    return tuple(member for member in members if member.node_id != own.node_id)


def delegates_by_zone(members: Iterable[Member]) -> dict[str, Member]:
    """Return the delegate of each zone, which reports for the zone."""
    zones: dict[str, list[Member]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    delegates: dict[str, Member] = {}
    for zone, local in zones.items():
        by_id = {member.node_id: member for member in capable_members(local)}
        first = rendezvous.first(DELEGATE_KEY + zone.encode(), by_id)
        if first is not None:
            delegates[zone] = by_id[first]
    return delegates
