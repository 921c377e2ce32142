"""Which nodes do the work that isn't requests, chosen alike by all, sans-IO.

What a machine can bear stands in its record of membership and doesn't change while its process
lives. So nodes that know the same members choose the same ones, and where they don't yet, they
differ as they do about a member that one of them has not heard of.
"""

from collections.abc import Iterable

from liftrill.coordination import rendezvous
from liftrill.coordination.membership_messages import Member

# A node does such work if it has this share of the mean at least. Where machines are alike, up to
# a difference of a fifth, all of them do.
MIN_CAPACITY_SHARE = 0.8


def capable_members(members: Iterable[Member]) -> list[Member]:
    """Return the members that can bear work beside requests; one that tells nothing counts."""
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
    """Return the members in the order in which a work is theirs, those that can bear it first."""
    by_id = {member.node_id: member for member in members}
    capable_ids = {member.node_id for member in capable_members(by_id.values())}
    ranked_ids = rendezvous.rank(key, by_id)
    return [by_id[name] for name in sorted(ranked_ids, key=lambda name: name not in capable_ids)]
