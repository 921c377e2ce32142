"""An in-process node that only follows the store or another node."""

import asyncio
import math
import time
from dataclasses import dataclass

from features.gateway_store import MemoryStore
from liftrill.bench.launcher import free_ports
from liftrill.coordination.membership_messages import Member
from liftrill.errors import StoreUnavailableError
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.records import GatewayConfiguration
from liftrill.gateway.relay_client import ReaderLimits
from liftrill.gateway.relay_server import RelayServer
from liftrill.gateway.store_follower import FollowerDelegate, StoreFollower
from liftrill.gateway.store_outage import AnswerHistory

MAX_MIRROR_AGE_S = 1.7
# Also the tolerance of measured times.
POLL_INTERVAL_S = 0.02


async def eventually(condition, seconds):
    until = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < until, f"condition not met within {seconds} s"
        await asyncio.sleep(POLL_INTERVAL_S)


class ScriptedStore(MemoryStore):
    """A store whose watches deliver changes on demand, and that can become unavailable.

    Attributes:
        is_unavailable: whether every call fails.
        read_times: when the range was read.
        watch_errors: the errors that the next watches raise immediately.
        watch_revisions: the revisions after which watches were started.
        delivers_changes: set while watches deliver changes.
    """

    def __init__(self):
        super().__init__()
        self.is_unavailable = False
        self.read_times = []
        self.watch_errors = []
        self.watch_revisions = []
        self.delivers_changes = asyncio.Event()

    async def read_range(self, prefix, after):
        self._check()
        self.read_times.append(time.monotonic())
        return await super().read_range(prefix, after)

    async def watch(self, prefix, after_revision, wait_seconds):
        self._check()
        self.watch_revisions.append(after_revision)
        if self.watch_errors:
            raise self.watch_errors.pop(0)
        while not self.delivers_changes.is_set():
            await asyncio.sleep(POLL_INTERVAL_S)
            self._check()
        return await super().watch(prefix, after_revision, wait_seconds)

    def _check(self):
        if self.is_unavailable:
            raise StoreUnavailableError("no answer")


@dataclass
class FollowPeriod:
    """The time for which a node followed another one."""

    since: float
    until: float = math.inf

    def duration_s(self, from_time=-math.inf):
        return min(self.until, time.monotonic()) - max(self.since, from_time)


class FollowingNode(FollowerDelegate):
    """A follower with a relay server, and a peer that it follows while the store is unavailable."""

    def __init__(self, name, store, cluster_state=None, limits=None):
        self.name = name
        self.cluster_state = cluster_state
        self.peer = None
        self.follow_periods = []
        self.answers = 0
        self.view = ConfigurationView(4.5)
        self.view.adopt(GatewayConfiguration(5, (), {}))
        limits = limits or ReaderLimits(name, MAX_MIRROR_AGE_S)
        answers = cluster_state.answers if cluster_state else AnswerHistory(2.4)
        self.follower = StoreFollower(store, "", self, limits, answers)
        self.server = RelayServer(self.follower, self.view, lambda count: None)
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self.task = None

    async def start(self):
        await self.server.listen(self.address)
        self.task = asyncio.ensure_future(self.follower.run())

    def member(self):
        return Member(self.name, self.address, "region", "zone", 1)

    def mirror_changed(self, change, known_until):
        self.server.publish(change)
        if self.cluster_state is not None:
            self.cluster_state.apply(change, known_until)

    def range_read(self, asked_at):
        self.view.prove_current(5, asked_at)

    def node_id(self):
        return self.name

    def is_assigned_reader(self):
        return False

    def store_connection_changed(self, connected):
        pass

    def relay_answered(self, answer, asked_at):
        self.answers += 1
        self.view.prove_current(answer.version, asked_at - answer.proof_age_s)

    def reader_to_follow(self, store_lost):
        return self.peer if store_lost else None

    def is_reader_eligible(self, reader, since):
        return True

    def reader_followed(self, reader, store_lost):
        self.follow_periods.append(FollowPeriod(time.monotonic()))

    def reader_lost(self, reader, reason):
        self.follow_periods[-1].until = time.monotonic()
