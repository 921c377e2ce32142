"""What a soak did and when: faults that excuse a node, and news that the store took."""

import math
import time
from contextlib import contextmanager
from dataclasses import dataclass, field

# How long before an arrival a fault must be over to excuse it no more: within it a node
# notices the end, is back in touch and has acted on what it then heard.
RECOVERY_S = 3.0
# The same for connections to the store that went silent, which have to be noticed first.
SILENCE_RECOVERY_S = 3.5


@dataclass(frozen=True)
class Impairment:
    """A fault that kept nodes from hearing, from acting, or from both.

    Attributes:
        node: whose it was, or "" for all nodes.
        begun_at: steady clock, seconds, as for all times of a soak.
        recovery_s: for how long after its end it excuses what a node does.
        stands: whether the node's process stood still, or ended, meanwhile.
    """

    node: str
    begun_at: float
    ended_at: float
    recovery_s: float = RECOVERY_S
    halted: bool = False

    def affects(self, node):
        return self.node in ("", node)


@dataclass(frozen=True)
class Stop:
    """A node that was told to end, and ended by itself."""

    node: str
    signalled_at: float
    gone_at: float


@dataclass
class Timeline:
    """When the store took what must be known soon, and what kept nodes from knowing it.

    Attributes:
        revoked_at: by key, when the store took a configuration without it.
        left_at: by engine, when the store took its word that it leaves, or else its
            record's removal.
        version_set_at: by version, when the store took its naming.
        stops: of nodes that were told to end.
        faults: when each fault was begun, and its name.
    """

    revoked_at: dict = field(default_factory=dict)
    left_at: dict = field(default_factory=dict)
    version_set_at: dict = field(default_factory=dict)
    stops: list = field(default_factory=list)
    faults: list = field(default_factory=list)
    impairments: list = field(default_factory=list)

    @contextmanager
    def impairment(self, node="", halted=False):
        """Note what happens meanwhile as a trouble of one node, or of all."""
        begun_at = time.monotonic()
        try:
            yield begun_at
        finally:
            ended_at = time.monotonic()
            self.impairments.append(Impairment(node, begun_at, ended_at, halted=halted))

    def note_stop(self, node, signalled_at):
        """Note that a node which was told to end is gone."""
        self.stops.append(Stop(node, signalled_at, time.monotonic()))

    def undisturbed_stops(self):
        """Return the stops of nodes that stood still for no other reason meanwhile."""
        return [stop for stop in self.stops if not any(self._disturb(stop))]

    def _disturb(self, stop):
        # A stop is a trouble of its node itself, which begins as it is told to end.
        for impairment in self.impairments:
            if (
                impairment.node == stop.node
                and impairment.halted
                and impairment.begun_at != stop.signalled_at
            ):
                yield impairment.begun_at < stop.gone_at and impairment.ended_at > stop.signalled_at

    def note_silent_connections(self):
        """Note that all connections to the store that are open now have gone silent."""
        now = time.monotonic()
        self.impairments.append(Impairment("", now, now, SILENCE_RECOVERY_S))

    def note_fault(self, name):
        """Note that a fault begins."""
        self.faults.append((time.monotonic(), name))

    def note_revocation(self, key):
        """Note that the store has just taken a configuration without a key."""
        self.revoked_at[key] = time.monotonic()

    def note_version(self, version):
        """Note that the store has just taken the naming of a version."""
        self.version_set_at[version] = time.monotonic()

    def note_departure(self, engine_id):
        """Note that the store has just taken an engine's leaving, if it is the first word."""
        self.left_at.setdefault(engine_id, time.monotonic())

    def replaced_at(self, version):
        """Return when a newer version than one was first named, or infinity."""
        return min(
            (at for newer, at in self.version_set_at.items() if newer > version), default=math.inf
        )

    def is_excused(self, node, at):
        """Return whether a node had a trouble at a time, or recovers from one."""
        return any(
            t.begun_at <= at <= t.ended_at + t.recovery_s
            for t in self.impairments
            if t.affects(node)
        )

    def halted_between(self, node, since, until):
        """Return whether a node's process stood still, or ended, between two times."""
        return any(t.halted for t in self._between(node, since, until))

    def impaired_between(self, node, since, until):
        """Return whether a node had any trouble between two times."""
        return any(True for _ in self._between(node, since, until))

    def _between(self, node, since, until):
        for impairment in self.impairments:
            if (
                impairment.affects(node)
                and impairment.begun_at <= until
                and impairment.ended_at >= since
            ):
                yield impairment

    def unimpaired_since(self, node, at):
        """Return since when a node has had no trouble: the time itself if it has one."""
        ends = (t.ended_at for t in self.impairments if t.affects(node) and t.begun_at <= at)
        return min(at, max(ends, default=-math.inf))

    def lines(self):
        """Return all of it as lines with the time of day, as logs have it."""
        offset = time.time() - time.monotonic()
        rows = [*self.faults]
        rows += [(at, f"{engine} left") for engine, at in self.left_at.items()]
        rows += [
            (at, f"version {version} was named") for version, at in self.version_set_at.items()
        ]
        rows += [(at, f"{key} was revoked") for key, at in self.revoked_at.items()]
        rows += [
            (t.begun_at, f"trouble of {t.node or 'all'} until {t.ended_at + offset:.3f}")
            for t in self.impairments
        ]
        return [f"{at + offset:.3f} {what}" for at, what in sorted(rows)]
