"""Selects the nodes that do work other than serving requests, sans-IO.

A node's capacity is part of its membership record and does not change while its process runs, so
nodes with the same view of the membership select the same nodes. Views that have not converged yet
may give different selections, as for any member that is unknown to one of the nodes.
"""

from collections.abc import Iterable

from liftrill.coordination import rendezvous
from liftrill.coordination.membership_messages import Member

# Minimum capacity of a capable node, as a share of the mean capacity. Machines that differ by less
# than a fifth are all capable.
MIN_CAPACITY_SHARE = 0.8
# How many nodes contend for the leader's lease as soon as it is free.
LEADER_CANDIDATES = 3
LEADER_RANK_KEY = b"leader"


def capable_members(members: Iterable[Member]) -> list[Member]:
    """Return the members with capacity for background work; unknown capacity is sufficient."""
    listed = list(members)
    known_capacities = [
        member.capacity_millicores for member in listed if member.capacity_millicores
    ]
    if not known_capacities:
        return listed
    min_millicores = MIN_CAPACITY_SHARE * sum(known_capacities) / len(known_capacities)
    return [
        m for m in listed if not m.capacity_millicores or m.capacity_millicores >= min_millicores
    ]


def ranked(key: bytes, members: Iterable[Member]) -> list[Member]:
    """Return the members in rendezvous order of a key, capable members first."""
    by_id = {member.node_id: member for member in members}
    capable_ids = {member.node_id for member in capable_members(by_id.values())}
    ranked_ids = rendezvous.rank(key, by_id)
    return [by_id[name] for name in sorted(ranked_ids, key=lambda name: name not in capable_ids)]


def leader_candidates(members: Iterable[Member]) -> list[Member]:
    """Return the members that contend for the leader's lease as soon as it is free."""
    return ranked(LEADER_RANK_KEY, members)[:LEADER_CANDIDATES]
