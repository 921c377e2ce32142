"""Simulates callers of three zones and nodes of three sizes in virtual time."""

import math
import random
from dataclasses import dataclass, field

from liftrill.coordination.membership_messages import Member
from liftrill.gateway.peers.node_capacity import NodeCapacities, NodeCapacity
from liftrill.gateway.peers.node_directory import NodeDirectory
from liftrill.gateway.settings import MachineLimits

STEP_S = 0.05
TICK_S = 0.25
REPORT_INTERVAL_S = 0.3
WAVE_PERIOD_S = 20.0
ZONES = 3
NODE_CORES = (1.8, 1.8, *[0.6] * 6, *[0.3] * 24)
REQUEST_CPU_S = 0.003
REQUEST_BYTES = 9_200
CONNECTIONS_PER_CALLER = 10
# No node lists a stopped node after this time, see peer_silence.feature.
SILENCE_TIMEOUT_S = 2.0
DIRECTORIES = 3
# A caller avoids a failed node for as long as it keeps an answer.
AVOID_FAILED_NODE_S = 8.0


@dataclass
class FakeNode:
    """A node that works in order of arrival, and whose event loop lags by the queued work."""

    member: Member
    cores: float
    capacity: NodeCapacity
    link_bytes_per_s: float = math.inf
    stopped_at: float = math.inf
    restarted_at: float = math.inf
    queued_cpu_s: float = 0.0
    queued_bytes: float = 0.0
    cpu_s: float = 0.0
    accepted_cpu_s: float = 0.0
    requests: float = 0.0
    next_tick_at: float = 0.0

    def is_alive(self, now):
        return now < self.stopped_at or now >= self.restarted_at

    def is_listed(self, now):
        return now < self.stopped_at + SILENCE_TIMEOUT_S or now >= self.restarted_at

    @property
    def lag_s(self):
        return max(self.queued_cpu_s / self.cores, self.queued_bytes / self.link_bytes_per_s)

    def accept(self, requests):
        self.accepted_cpu_s += requests * REQUEST_CPU_S
        self.queued_bytes += requests * REQUEST_BYTES
        self.requests += requests

    def work(self, now):
        # Only requests that have arrived over the link can be processed. Callers time out after
        # 2 s, which bounds both queues.
        received = min(self.queued_bytes, self.link_bytes_per_s * STEP_S)
        self.queued_cpu_s += received / REQUEST_BYTES * REQUEST_CPU_S
        self.queued_bytes = min(self.queued_bytes - received, 2 * self.link_bytes_per_s)
        done = min(self.queued_cpu_s, self.cores * STEP_S)
        self.cpu_s += done
        self.queued_cpu_s = min(self.queued_cpu_s - done, 2 * self.cores)
        if now >= self.next_tick_at:
            for _ in range(min(15, int(self.requests))):
                self.capacity.record_request(
                    REQUEST_BYTES - 1_200, self.queued_bytes / self.link_bytes_per_s
                )
            self.requests = 0.0
            self.capacity.update(now, self.cpu_s, 0)
            self.next_tick_at = now + TICK_S + self.queued_cpu_s / self.cores


@dataclass
class FakeCaller:
    """One client address with the requests of many users."""

    address: str
    zone: str
    node_names: list = field(default_factory=list)
    connections: list = field(default_factory=list)
    failed_until: dict = field(default_factory=dict)
    next_query_at: float = 0.0
    moved_connections: int = 0


class CallerSimulation:
    """A fleet and its callers, with measurements of both."""

    def __init__(
        self, policy, load, allows_spillover=True, callers=24, loss_rate=0.05, sizes=NODE_CORES
    ):
        self.random = random.Random(11)
        self.now, self.load, self.loss_rate = 0.0, load, loss_rate
        self.nodes = {}
        self.next_report_at = self.next_directory_update_at = 0.0
        for zone in range(ZONES):
            for number, cores in enumerate(sizes):
                name = f"node-{zone}-{number}"
                member = Member(name, f"10.1.{zone}.{number}:1", "region", f"zone-{zone}", 1)
                capacity = NodeCapacity(MachineLimits(cpu_share=cores), TICK_S)
                self.nodes[name] = FakeNode(member, cores, capacity)
        self.directories = {
            f"zone-{zone}": [
                NodeDirectory(NodeCapacities(), policy, allows_spillover)
                for _ in range(DIRECTORIES)
            ]
            for zone in range(ZONES)
        }
        self.callers = [
            FakeCaller(f"10.9.{zone}.{5 + n}", f"zone-{zone}", next_query_at=self.random.random())
            for zone in range(ZONES)
            for n in range(callers)
        ]
        self.lags = []
        self.last_failure_at = 0.0
        self.weights = dict.fromkeys(self.directories, 1.0)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now += STEP_S
            if self.now >= self.next_report_at:
                self.next_report_at = self.now + REPORT_INTERVAL_S
                self._report()
            if self.now >= self.next_directory_update_at:
                self.next_directory_update_at = self.now + TICK_S
                self._update_directories()
            for caller in self.callers:
                self._query(caller)
                self._send(caller)
            alive = [node for node in self.nodes.values() if node.is_alive(self.now)]
            for node in alive:
                node.work(self.now)
            self.lags.append((self.now, [node.lag_s for node in alive]))

    def zone_nodes(self, zone):
        return [node for node in self.nodes.values() if node.member.zone == zone]

    def _listed_members(self):
        return [node.member for node in self.nodes.values() if node.is_listed(self.now)]

    def _update_directories(self):
        for zone, directories in self.directories.items():
            for directory in directories:
                directory.update(self._listed_members(), zone, self.now)

    def _report(self):
        for zone, directories in self.directories.items():
            for directory in directories:
                for node in self.zone_nodes(zone):
                    if node.is_alive(self.now) and self.random.random() >= self.loss_rate:
                        directory.capacities.update(
                            node.member.node_id, node.capacity.current_load(), self.now
                        )
            names = [n.member.node_id for n in self.zone_nodes(zone) if n.is_listed(self.now)]
            total = directories[0].capacities.total(names, self.now)
            for other, others in self.directories.items():
                for directory in others if other != zone else ():
                    directory.capacities.update_zone(zone, total, self.now)

    def _query(self, caller):
        if self.now < caller.next_query_at:
            return
        caller.next_query_at = self.now + self.random.uniform(1.0, 5.0)
        directory = self.random.choice(self.directories[caller.zone])
        answer = directory.nodes_for(self._listed_members(), caller.zone, caller.address, self.now)
        caller.node_names = [member.node_id for member in answer]
        for place, name in enumerate(caller.connections):
            if name not in caller.node_names:
                caller.connections[place] = self._connect(caller)
                caller.moved_connections += 1
        while len(caller.connections) < CONNECTIONS_PER_CALLER:
            caller.connections.append(self._connect(caller))

    def _connect(self, caller):
        usable = [
            name for name in caller.node_names if caller.failed_until.get(name, 0.0) <= self.now
        ]
        return self.random.choice(usable or caller.node_names)

    def _rate(self, zone):
        number = int(zone[-1])
        wave = 1.0 + 0.3 * math.sin(2 * math.pi * (self.now / WAVE_PERIOD_S + number / ZONES))
        cores_per_zone = sum(n.cores for n in self.nodes.values()) / ZONES
        callers_in_zone = sum(c.zone == zone for c in self.callers)
        return (
            self.load * self.weights[zone] * wave * cores_per_zone / REQUEST_CPU_S / callers_in_zone
        )

    def _send(self, caller):
        if not caller.node_names:
            return
        requests = self._rate(caller.zone) * STEP_S
        for place, name in enumerate(caller.connections):
            if not self.nodes[name].is_alive(self.now):
                caller.failed_until[name] = self.now + AVOID_FAILED_NODE_S
                caller.connections[place] = name = self._connect(caller)
            self._send_to(caller, name, requests / 2 / CONNECTIONS_PER_CALLER)
        for _ in range(CONNECTIONS_PER_CALLER):
            self._send_to(caller, self._connect(caller), requests / 2 / CONNECTIONS_PER_CALLER)

    def _send_to(self, caller, name, requests):
        node = self.nodes[name]
        if node.is_alive(self.now):
            node.accept(requests)
        else:
            caller.failed_until[name] = self.now + AVOID_FAILED_NODE_S
            self.last_failure_at = self.now

    # Measurements

    def start_measuring(self):
        self.lags.clear()
        for node in self.nodes.values():
            node.accepted_cpu_s = 0.0
        for caller in self.callers:
            caller.moved_connections = 0
        self.measured_since = self.now

    def work_per_capacity(self):
        """Return the ratio of the share of the work to the share of the capacity, by node size."""
        work, cores = {}, {}
        for node in self.nodes.values():
            work[node.cores] = work.get(node.cores, 0.0) + node.accepted_cpu_s
            cores[node.cores] = cores.get(node.cores, 0.0) + node.cores
        return {
            size: work[size] / sum(work.values()) / (cores[size] / sum(cores.values()))
            for size in sorted(work)
        }

    def mean_lags_s(self):
        """Return the means over time of the largest lag, and of the mean lag of all nodes."""
        largest = sum(max(lags) for _, lags in self.lags) / len(self.lags)
        mean = sum(sum(lags) / len(lags) for _, lags in self.lags) / len(self.lags)
        return largest, mean

    def moved_share_per_s(self):
        """Return the share of persistent connections that callers move per second."""
        moved_connections = sum(caller.moved_connections for caller in self.callers)
        return (
            moved_connections
            / len(self.callers)
            / CONNECTIONS_PER_CALLER
            / (self.now - self.measured_since)
        )
