"""Starts and stops the processes of a deployment on the loopback interface."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import aiohttp
import orjson

from liftrill.bench.deployment import Deployment, PoolSpecification, intent_of
from liftrill.cli.operator_client import OperatorClient
from liftrill.errors import LiftrillError

HOST = "127.0.0.1"
# Includes the other loopback addresses, at which the nodes of a test listen.
ALL_ADDRESSES = "0.0.0.0"
OPERATOR_KEY = "operator-key-of-the-launcher"
SHARED_KEY = "shared-key-of-the-launcher"
CACHE_SECRET = "cache-secret-of-the-launcher"
START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 15.0
# Time for a process to write the stacks of its threads after SIGABRT.
ABORT_TIMEOUT_SECONDS = 5.0
ERROR_LOG_CHARACTERS = 3_000
POLL_INTERVAL_SECONDS = 0.05
CLAIM_GROUP_SIZE = 3
# Environment variable for the range of usable ports, as FIRST-LAST.
PORTS_VARIABLE = "LIFTRILL_BENCH_PORTS"
DEFAULT_PORT_RANGE = "10000-29999"


class LaunchError(LiftrillError):
    """Raised when a process does not start or a condition does not hold within its timeout."""


class ConditionTimeoutError(LaunchError):
    """Raised when a condition does not hold within its timeout."""


@dataclass(slots=True)
class ManagedProcess:
    """A process that the launcher starts and stops."""

    name: str
    arguments: list[str]
    address: str
    log_path: Path
    environment: dict[str, str]
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, or restart it after it has ended."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "liftrill", *self.arguments],
                stdout=log,
                stderr=log,
                env={"PYTHONFAULTHANDLER": "1", **os.environ, **self.environment},
            )

    def abort(self) -> str:
        """End the process with SIGABRT, and return the end of its log, which has its stacks."""
        self.send_signal(signal.SIGABRT)
        self.wait(ABORT_TIMEOUT_SECONDS)
        return self.last_log_lines()

    def last_log_lines(self) -> str:
        """Return the end of the log, for an error message."""
        return self.log_path.read_text()[-ERROR_LOG_CHARACTERS:]

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout_seconds: float) -> int | None:
        """Return the exit code, or None if the process is still running after the timeout."""
        if self.process is None:
            return None
        try:
            return self.process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            return None

    def stop(self) -> int | None:
        """Terminate the process, kill it after a timeout, and return its exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        code = self.wait(STOP_TIMEOUT_SECONDS)
        if code is None:
            self.send_signal(signal.SIGKILL)
            code = self.wait(STOP_TIMEOUT_SECONDS)
        return code


@dataclass(slots=True)
class EngineProcess:
    """The process of an engine, and the path of its journal."""

    managed: ManagedProcess
    engine_id: str
    zone: str
    pool: str
    journal_path: Path


@dataclass(slots=True)
class Cluster:
    """The processes of a deployment, which run inside the context manager.

    Attributes:
        directory: directory of the logs and journals.
        seed: seed from which the engines derive their own.
        environment: environment variables added for all processes.
        node_flags: additional command-line options of the nodes, by name.
        machine_list_lag_seconds: delay before the platform lists a change of a machine.
    """

    deployment: Deployment
    directory: Path
    seed: int = 1
    environment: dict[str, str] = field(default_factory=dict)
    node_flags: dict[str, str] = field(default_factory=dict)
    machine_list_lag_seconds: float = 0.5
    platform: ManagedProcess = field(init=False)
    kept_store: ManagedProcess = field(init=False)
    engines: list[EngineProcess] = field(init=False, default_factory=list)
    nodes: list[ManagedProcess] = field(init=False, default_factory=list)
    session: aiohttp.ClientSession = field(init=False)

    async def __aenter__(self) -> "Cluster":
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._stop_when_terminated()
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stop()

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes, in the order in which they are started."""
        return [self.platform, self.kept_store, *(e.managed for e in self.engines), *self.nodes]

    def operator(self, node_index: int = 0, name: str = "launcher") -> OperatorClient:
        """Return a client for the operator API of a node."""
        address = self.nodes[node_index].address
        return OperatorClient(self.session, address, OPERATOR_KEY, name)

    async def configure(self) -> int:
        """Confirm the intent of the deployment and wait until every node is ready.

        Returns:
            The generation of the confirmed configuration.
        """
        size = CLAIM_GROUP_SIZE if len(self.nodes) >= CLAIM_GROUP_SIZE else 1
        members = [node.name for node in self.nodes[:size]]
        generation = await self.operator().confirm_intent(intent_of(self.deployment, members))
        for node in self.nodes:
            await self.wait_ready(node)
        return generation

    async def wait_ready(self, node: ManagedProcess) -> None:
        """Wait until the readiness check of a node succeeds."""

        async def ready() -> bool:
            async with self.session.get(f"http://{node.address}/ready") as response:
                return response.status == 200

        await wait_until(ready, f"{node.name} is ready")

    async def engine_fault(self, engine: EngineProcess, **fault: object) -> None:
        """Inject a fault into an engine."""
        await self._post(f"http://{engine.managed.address}/admin/fault", fault)

    async def platform_fault(self, **fault: object) -> None:
        """Inject a fault into the platform."""
        await self._post(f"http://{self.platform.address}/admin/fault", fault)

    async def register_engine(self, engine: EngineProcess, leaving: bool = False) -> None:
        """Add an engine to the machine list, or update its entry."""
        row = {
            "ID": engine.engine_id,
            "Name": engine.pool,
            "Address": engine.managed.address,
            "Meta": {"Zone": engine.zone, "Leaving": str(leaving).lower()},
        }
        url = f"http://{self.platform.address}/v1/agent/service/register"
        async with self.session.put(url, data=orjson.dumps(row)) as response:
            await response.read()

    def executions(self) -> list[dict[str, Any]]:
        """Return the executions in the journals of all engines, oldest first."""
        rows = [row for row in self._journal_rows() if "request_id" in row]
        return sorted(rows, key=lambda row: float(row["at"]))

    def reuses(self) -> list[dict[str, Any]]:
        """Return the reuses of cached blocks in the journals of all engines."""
        return [row for row in self._journal_rows() if "reused_by" in row]

    def _journal_rows(self) -> list[dict[str, Any]]:
        rows: list[dict[str, Any]] = []
        for engine in self.engines:
            if engine.journal_path.exists():
                lines = engine.journal_path.read_bytes().splitlines()
                # The last line is incomplete if the engine was killed while it wrote.
                rows.extend(orjson.loads(line) for line in lines if line.endswith(b"}"))
        return rows

    def _stop_when_terminated(self) -> None:
        """Cancel the current task on SIGTERM, so that the child processes are stopped as well."""
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)

    async def _start(self) -> None:
        self._plan_processes()
        for process in self.processes:
            process.start()
        for process in (self.platform, self.kept_store, *(e.managed for e in self.engines)):
            await self.wait_listening(process)
        for engine in self.engines:
            await self.register_engine(engine)
        for node in self.nodes:
            await self.wait_listening(node)

    def _plan_processes(self) -> None:
        ports = free_ports(
            2 + sum(p.engines for p in self.deployment.pools) + 2 * self.deployment.nodes
        )
        port_iterator = iter(ports)
        address = f"{HOST}:{next(port_iterator)}"
        lag = f"--machine-list-lag-seconds={self.machine_list_lag_seconds}"
        self.platform = self._process(
            "platform",
            ["emulate", "platform", lag],
            address,
        )
        self.kept_store = self._process(
            self.deployment.kept_store,
            ["emulate", "kept-store", f"--capacity-blocks={self.deployment.kept_store_blocks}"],
            f"{HOST}:{next(port_iterator)}",
        )
        for pool in self.deployment.pools:
            for number in range(pool.engines):
                self.engines.append(self._engine(pool, number, f"{HOST}:{next(port_iterator)}"))
        addresses = [
            (f"{HOST}:{next(port_iterator)}", f"{HOST}:{next(port_iterator)}")
            for _ in range(self.deployment.nodes)
        ]
        peers = [peer for _, peer in addresses]
        for number, (listen, peer_listen) in enumerate(addresses):
            self.nodes.append(self._node(number, listen, peer_listen, peers))

    def _process(self, name: str, command: list[str], address: str) -> ManagedProcess:
        log_path = self.directory / f"{name}.log"
        arguments = [*command, f"--listen={address}"]
        return ManagedProcess(name, arguments, address, log_path, self.environment)

    def _engine(self, pool: PoolSpecification, number: int, address: str) -> EngineProcess:
        engine_id = f"{pool.name}-{number}"
        zone = self.deployment.zones[number % len(self.deployment.zones)]
        journal_path = self.directory / f"{engine_id}.journal"
        command = [
            "emulate",
            "engine",
            f"--engine-id={engine_id}",
            f"--pool={pool.name}",
            f"--model={pool.model}",
            f"--weight-version={pool.weight_version}",
            f"--seed={self.seed * 1000 + number}",
            f"--journal={journal_path}",
            f"--kept-store={self.kept_store.address}",
            f"--weight-store={self.platform.address}",
            *(
                f"--{key.replace('_', '-')}={value}"
                for key, value in pool.engine.model_dump().items()
            ),
        ]
        process = self._process(engine_id, command, address)
        return EngineProcess(process, engine_id, zone, pool.name, journal_path)

    def _node(self, number: int, listen: str, peer_listen: str, peers: list[str]) -> ManagedProcess:
        name = f"{self.deployment.application}-{number}"
        command = [
            "node",
            f"--node-id={name}",
            f"--region={self.deployment.region}",
            f"--zone={self.deployment.zones[number % len(self.deployment.zones)]}",
            f"--peer-listen={peer_listen}",
            f"--platform=http://{self.platform.address}",
            f"--operator-key={OPERATOR_KEY}",
            f"--cache-secret={CACHE_SECRET}",
            *(f"--{key}={value}" for key, value in self.node_flags.items()),
            "--shared-keys",
            SHARED_KEY,
            "--peers",
            *peers,
        ]
        return self._process(name, command, listen)

    async def wait_listening(
        self, process: ManagedProcess, timeout_seconds: float = START_TIMEOUT_SECONDS
    ) -> None:
        """Wait until a process accepts connections.

        Raises:
            LaunchError: the process ended, or does not listen within the timeout; in the latter
                case it is ended, and the error contains the stacks of its threads.
        """
        host, _, port = process.address.rpartition(":")

        async def listening() -> bool:
            if process.process is not None and process.process.poll() is not None:
                text = process.last_log_lines()
                raise LaunchError(f"{process.name} ended before it accepted connections: {text}")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return True

        description = f"{process.name} accepts connections"
        try:
            await wait_until(listening, description, timeout_seconds)
        except ConditionTimeoutError as error:
            text = await asyncio.to_thread(process.abort)
            raise LaunchError(f"{error}: {text}") from error

    async def _post(self, url: str, content: object) -> None:
        async with self.session.post(url, data=orjson.dumps(content)) as response:
            if response.status != 200:
                raise LaunchError(f"POST {url} returned {response.status}: {await response.text()}")

    async def _stop(self) -> None:
        await self.session.close()
        started = [p for p in self._planned_processes() if p.process is not None]
        await asyncio.gather(*(asyncio.to_thread(process.stop) for process in started))

    def _planned_processes(self) -> Iterator[ManagedProcess]:
        try:
            yield from self.processes
        except AttributeError:
            return


async def wait_until(
    condition: Callable[[], Any], description: str, timeout_seconds: float = START_TIMEOUT_SECONDS
) -> None:
    """Wait until an asynchronous condition holds; connection errors count as not held.

    Raises:
        ConditionTimeoutError: the condition does not hold within the timeout.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_seconds
    while loop.time() < deadline:
        try:
            if await condition():
                return
        except (aiohttp.ClientError, OSError):
            pass
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    raise ConditionTimeoutError(f"condition not met within {timeout_seconds:.0f} s: {description}")


def free_ports(count: int) -> list[int]:
    """Return ports that are currently free for both TCP and UDP, in random order.

    The default range is below the ephemeral ports that the system assigns to outgoing
    connections. Processes that run at the same time use separate ranges, set with
    `PORTS_VARIABLE`. Both keep a port free until the launched process binds it.

    Raises:
        LaunchError: the range has too few free ports.
    """
    first, _, last = os.environ.get(PORTS_VARIABLE, DEFAULT_PORT_RANGE).partition("-")
    candidates = list(range(int(first), int(last) + 1))
    random.shuffle(candidates)
    found: list[int] = []
    while len(found) < count:
        if not candidates:
            raise LaunchError(f"only {len(found)} of {count} ports are free from {first} to {last}")
        port = candidates.pop()
        if _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            if socket_type is socket.SOCK_STREAM:
                # As servers do, which may use a port whose connections have ended.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ALL_ADDRESSES, port))
            except OSError:
                return False
    return True
