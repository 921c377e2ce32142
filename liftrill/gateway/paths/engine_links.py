"""Tracks whether a node reaches engines over its own links, sans-IO.

A failed or silent attempt does not show whether the engine or the link to it has failed. So it
only leads to a probe: a connection to the engine's port, which a running engine accepts within a
round trip, however busy it is. A link is down from its first failed probe, or from the first
attempt that could not connect, until a probe succeeds.

A partition usually cuts several links at once. So each link that goes down makes other links
suspect that have delivered nothing since.
"""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.transport import ProbeResult

# A link is probed if requests wait on it and no engine has sent anything for this long.
NODE_SILENCE_S = 0.25
# A link is probed if a request waits on it for this long, whatever other engines send: long
# prompts take as long, so these probes are limited to one per interval of the same length.
LINK_SILENCE_S = 1.0
# A link that delivered something this recently is not suspect when another one goes down.
FRESH_S = 0.05
# An attempt over a link that is down ends if nothing has arrived for it for this long. Connections
# that are established may live on although new ones fail.
DOWN_SILENCE_S = 0.5
# How many silent links are probed at first, and how many others once a link went down.
MAX_SILENT_PROBES = 3
MAX_SUSPECTS = 8
# Intervals between the probes of a link that is down.
MIN_PROBE_INTERVAL_S = 0.25
MAX_PROBE_INTERVAL_S = 1.0
# A link that goes down again within this time after it was restored keeps its probe interval.
STABLE_S = 5.0


@dataclass(eq=False, slots=True)
class LinkUse:
    """One attempt that uses a link.

    Attributes:
        on_down: called while the link is down and nothing arrives for this attempt, repeatedly.
    """

    link: "_Link"
    waiting_since: float
    on_down: Callable[[], None]


@dataclass(eq=False, slots=True)
class _Link:
    """The link to one incarnation of an engine."""

    engine: EngineAddress
    is_up: bool = True
    changed_at: float = -math.inf
    received_at: float = -math.inf
    accepted_at: float = -math.inf
    probed_at: float = -math.inf
    probe_interval_s: float = MIN_PROBE_INTERVAL_S
    is_suspect: bool = False
    is_probing: bool = False
    uses: set[LinkUse] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class LinkChange:
    """A link that went down or was restored.

    Attributes:
        cause: what showed it.
        silent_s: time since the engine last sent anything, or infinite.
    """

    engine: EngineAddress
    is_up: bool
    cause: str
    silent_s: float


def _ignore_change(change: LinkChange) -> None:
    """Ignore a change."""


@dataclass(slots=True)
class EngineLinks:
    """The links of one node to engines.

    Attributes:
        on_change: called when a link goes down or is restored.
    """

    on_change: Callable[[LinkChange], None] = _ignore_change
    _links: dict[EngineAddress, _Link] = field(default_factory=dict)
    _received_at: float = -math.inf
    _slow_probe_at: float = -math.inf

    def is_up(self, engine: EngineAddress) -> bool:
        """Return whether the link to an engine is not known to be down."""
        link = self._links.get(engine)
        return link is None or link.is_up

    def down_since(self, engine: EngineAddress) -> float | None:
        """Return since when the link to an engine is known to be down, or None if it is not."""
        link = self._links.get(engine)
        return None if link is None or link.is_up else link.changed_at

    def worked_since(self, engine: EngineAddress, since: float) -> bool:
        """Return whether an engine sent something, or accepted a probe, after a time."""
        link = self._links.get(engine)
        return link is not None and link.is_up and max(link.received_at, link.accepted_at) > since

    def unreachable(self) -> list[EngineAddress]:
        """Return the engines whose links are down."""
        return [link.engine for link in self._links.values() if not link.is_up]

    # Attempts

    def begin(self, engine: EngineAddress, on_down: Callable[[], None], now: float) -> LinkUse:
        """Record that an attempt is about to use the link to an engine."""
        link = self._link(engine)
        use = LinkUse(link, now, on_down)
        link.uses.add(use)
        return use

    def received(self, use: LinkUse, now: float) -> None:
        """Record that an attempt received something from its engine."""
        use.waiting_since = use.link.received_at = self._received_at = now

    def could_not_connect(self, use: LinkUse, now: float) -> None:
        """Record that an attempt could not connect to its engine.

        Attempts that were under way when the link went down show nothing new.
        """
        if use.link.is_up:
            self._set_down(use.link, "attempt", now)

    def path_found(self, engine: EngineAddress, now: float) -> None:
        """Tell the silent attempts over a link that is down that there is another path."""
        link = self._links.get(engine)
        if link is not None and not link.is_up:
            self._notify_uses(link, now - NODE_SILENCE_S)

    def was_interrupted(self, use: LinkUse) -> None:
        """Record that the connection of an attempt was lost."""
        use.link.is_suspect = True

    def end(self, use: LinkUse) -> None:
        """Record that an attempt has ended."""
        use.link.uses.discard(use)

    # Probes

    def due_probes(self, now: float) -> list[EngineAddress]:
        """Return the engines to probe now; the result of each has to be recorded."""
        self._end_silent_uses(now)
        due = [link for link in self._links.values() if self._is_due(link, now)]
        silent = self._silent_links(now)
        due += [link for link in silent if link not in due]
        for link in due:
            link.is_probing, link.is_suspect, link.probed_at = True, False, now
        return [link.engine for link in due]

    def record_probe(self, engine: EngineAddress, result: ProbeResult, now: float) -> None:
        """Record the result of a probe."""
        link = self._link(engine)
        link.is_probing, link.probed_at = False, now
        if result is ProbeResult.ACCEPTED:
            # The suspicion is answered, whoever sent the probe.
            link.accepted_at, link.is_suspect = now, False
            self._set_up(link, now)
        elif result is not ProbeResult.LATE:
            self._set_down(link, f"probe {result.value}", now)

    def keep_only(self, engines: Iterable[EngineAddress]) -> None:
        """Forget the engines that are no longer listed; links in use are kept."""
        listed = set(engines)
        for engine, link in list(self._links.items()):
            if engine not in listed and not link.uses:
                del self._links[engine]

    def suspect_all(self, engines: Collection[EngineAddress], now: float) -> None:
        """Make links suspect that have delivered nothing lately, a limited number at a time."""
        links = [self._link(engine) for engine in engines]
        suspects = [
            link
            for link in links
            if link.is_up and not link.is_probing and link.received_at < now - FRESH_S
            if link.probed_at < now - MIN_PROBE_INTERVAL_S
        ]
        for link in suspects[:MAX_SUSPECTS]:
            link.is_suspect = True

    def _end_silent_uses(self, now: float) -> None:
        for link in self._links.values():
            if not link.is_up:
                self._notify_uses(link, now - DOWN_SILENCE_S)

    def _notify_uses(self, link: _Link, silent_since: float) -> None:
        """Call `on_down` of the attempts for which nothing has arrived since a time."""
        for use in list(link.uses):
            if use.waiting_since <= silent_since:
                use.on_down()

    def _link(self, engine: EngineAddress) -> _Link:
        link = self._links.get(engine)
        if link is None:
            link = self._links[engine] = _Link(engine)
        return link

    def _is_due(self, link: _Link, now: float) -> bool:
        if link.is_probing:
            return False
        if link.is_up:
            return link.is_suspect
        return now - link.probed_at >= link.probe_interval_s

    def _silent_links(self, now: float) -> list[_Link]:
        """Return the links to probe because requests wait on them without an answer."""
        waiting = [
            (min(use.waiting_since for use in link.uses), link)
            for link in self._links.values()
            if link.uses and link.is_up and not link.is_probing
            if now - link.probed_at >= LINK_SILENCE_S
        ]
        waiting.sort(key=lambda row: row[0])
        if now - self._received_at >= NODE_SILENCE_S:
            before = now - NODE_SILENCE_S
            return [link for since, link in waiting if since <= before][:MAX_SILENT_PROBES]
        slow = [link for since, link in waiting if now - since >= LINK_SILENCE_S]
        if not slow or now - self._slow_probe_at < LINK_SILENCE_S:
            return []
        self._slow_probe_at = now
        return slow[:1]

    def _set_up(self, link: _Link, now: float) -> None:
        if link.is_up:
            return
        link.is_up, link.changed_at = True, now
        # A partition that ends restores the other links too.
        for other in self._links.values():
            if not other.is_up:
                other.probe_interval_s = MIN_PROBE_INTERVAL_S
        self.on_change(LinkChange(link.engine, True, "probe", now - link.received_at))

    def _set_down(self, link: _Link, cause: str, now: float) -> None:
        if not link.is_up:
            link.probe_interval_s = min(MAX_PROBE_INTERVAL_S, 2.0 * link.probe_interval_s)
            return
        if now - link.changed_at >= STABLE_S:
            link.probe_interval_s = MIN_PROBE_INTERVAL_S
        link.is_up, link.is_suspect, link.changed_at = False, False, now
        link.probed_at = max(link.probed_at, now)
        self._notify_uses(link, now - NODE_SILENCE_S)
        self.on_change(LinkChange(link.engine, False, cause, now - link.received_at))
