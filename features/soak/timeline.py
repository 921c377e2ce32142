"""Timeline of a soak: the faults that excuse a node, and the changes that the store accepted."""

import math
import time
from contextlib import contextmanager
from dataclasses import dataclass, field

# A fault excuses requests for this long after its end: the node notices the end, reconnects to
# the store and acts on what it then reads.
RECOVERY_S = 3.0
# The same for connections to the store that went silent: the silence has to be detected first.
SILENCE_RECOVERY_S = 3.5


@dataclass(frozen=True)
class Impairment:
    """A fault that kept nodes from receiving changes, from acting on them, or from both.

    Attributes:
        node: the affected node, or "" for all nodes.
        begun_at: in seconds of the monotonic clock, like all times of a soak.
        recovery_s: for how long after its end the impairment excuses late requests.
        halted: whether the node's process was stopped, or had exited, meanwhile.
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
    """The stop of a node that received SIGTERM and exited by itself."""

    node: str
    signalled_at: float
    exited_at: float


@dataclass
class Timeline:
    """When the store accepted each change, and which faults kept nodes from receiving it.

    Attributes:
        revoked_at: by API key, when the store accepted a configuration without the key.
        left_at: by engine, when the store accepted its draining record, or else the removal
            of its record.
        version_set_at: by weight version, when the store accepted it as the target.
        stops: the nodes that received SIGTERM and exited.
        faults: the start and the name of each injected fault.
        impairments: the faults that excuse late requests.
    """

    revoked_at: dict = field(default_factory=dict)
    left_at: dict = field(default_factory=dict)
    version_set_at: dict = field(default_factory=dict)
    stops: list = field(default_factory=list)
    faults: list = field(default_factory=list)
    impairments: list = field(default_factory=list)

    @contextmanager
    def impairment(self, node="", halted=False):
        """Record the duration of the `with` block as an impairment of one node, or of all."""
        begun_at = time.monotonic()
        try:
            yield begun_at
        finally:
            ended_at = time.monotonic()
            self.impairments.append(Impairment(node, begun_at, ended_at, halted=halted))

    def note_stop(self, node, signalled_at):
        """Record that a node exited after SIGTERM."""
        self.stops.append(Stop(node, signalled_at, time.monotonic()))

    def undisturbed_stops(self):
        """Return the stops during which nothing else halted the node's process."""
        return [stop for stop in self.stops if not any(self._disturb(stop))]

    def _disturb(self, stop):
        # The stop itself is recorded as an impairment that begins with its signal.
        for impairment in self.impairments:
            if (
                impairment.node == stop.node
                and impairment.halted
                and impairment.begun_at != stop.signalled_at
            ):
                yield (
                    impairment.begun_at < stop.exited_at and impairment.ended_at > stop.signalled_at
                )

    def note_silent_connections(self):
        """Record that all connections to the store that are open now have gone silent."""
        now = time.monotonic()
        self.impairments.append(Impairment("", now, now, SILENCE_RECOVERY_S))

    def note_fault(self, name):
        """Record the start of a fault."""
        self.faults.append((time.monotonic(), name))

    def note_revocation(self, key):
        """Record that the store has just accepted a configuration without an API key."""
        self.revoked_at[key] = time.monotonic()

    def note_version(self, version):
        """Record that the store has just accepted a target weight version."""
        self.version_set_at[version] = time.monotonic()

    def note_departure(self, engine_id):
        """Record that the store has just accepted an engine's departure, unless one is recorded."""
        self.left_at.setdefault(engine_id, time.monotonic())

    def replaced_at(self, version):
        """Return when a version newer than `version` was first set as the target, or infinity."""
        return min(
            (at for newer, at in self.version_set_at.items() if newer > version), default=math.inf
        )

    def is_excused(self, node, at):
        """Return whether a node was impaired, or was recovering from an impairment, at a time."""
        return any(
            t.begun_at <= at <= t.ended_at + t.recovery_s
            for t in self.impairments
            if t.affects(node)
        )

    def halted_between(self, node, since, until):
        """Return whether a node's process was stopped, or had exited, between two times."""
        return any(t.halted for t in self._between(node, since, until))

    def impaired_between(self, node, since, until):
        """Return whether a node was impaired between two times."""
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
        """Return since when a node has been unimpaired, or `at` itself if it is impaired then."""
        ends = (t.ended_at for t in self.impairments if t.affects(node) and t.begun_at <= at)
        return min(at, max(ends, default=-math.inf))

    def lines(self):
        """Return the timeline as text lines with wall-clock times, for comparison with the logs."""
        offset = time.time() - time.monotonic()
        rows = [*self.faults]
        rows += [(at, f"{engine} left") for engine, at in self.left_at.items()]
        rows += [
            (at, f"version {version} was set as the target")
            for version, at in self.version_set_at.items()
        ]
        rows += [(at, f"{key} was revoked") for key, at in self.revoked_at.items()]
        rows += [
            (t.begun_at, f"impaired: {t.node or 'all nodes'}, until {t.ended_at + offset:.3f}")
            for t in self.impairments
        ]
        return [f"{at + offset:.3f} {what}" for at, what in sorted(rows)]
