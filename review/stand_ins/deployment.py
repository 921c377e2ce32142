"""A small deployment on loopback: the platform's store, engines, and nodes as processes.

The nodes run the command of the deploy file, with settings as the platform lays them down.
"""

import asyncio
import itertools
import json
import os
import random
import secrets
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins.engine import Engine
from stand_ins.http import Message, call
from stand_ins.store import Store
from stand_ins.times import now_s

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "service.example"
# The bounds of the small deployments on the users' pages.
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "SyncS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "SkewMs": 5000,
    "FailClosed": "true",
    "RevokeMs": 5000,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetrySlack": 54,
    "RecoveryS": 12,
    "TransitMs": 120,
    "RetryAfterS": 10,
    "RequireFencing": "true",
    "LeaseMs": 3000,
    "ThawMs": 300,
    "VersionMs": 8000,
    "VersionAllMs": 11000,
    "ttl_max_s": 5,
}
LISTEN = ("Front", "Readiness", "Control", "Directory")
READY_TIMEOUT_S = 20.0
# A case is given up after this time; it may take 120 s.
MAX_RUN_S = 110.0


class UnableError(Exception):
    """The case could not be run."""


class Record:
    """The record of what was sent, answered and run, in the folder of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = now_s()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        elapsed_s = now_s() - self._started_at
        self._file.write(f"{elapsed_s:8.3f} s  {text}\n")
        self._file.flush()


def free_host_and_ports(count: int) -> tuple[str, list[int]]:
    """Return a loopback network and consecutive ports that are free in it."""
    network = f"127.{random.randrange(20, 200)}.{random.randrange(256)}"
    for _ in range(50):
        first = random.randrange(20_000, 32_000)
        if all(_is_free(f"{network}.1", first + i) for i in range(count)):
            return network, list(range(first, first + count))
    raise UnableError("no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as opened:
        try:
            opened.bind((host, port))
        except OSError:
            return False
    return True


class Node:
    """One process of the gateway role."""

    memory_mb = 300

    def __init__(self, name: str, ip: str, ports: list[int], folder: Path) -> None:
        self.name = name
        self.ip = ip
        self.ports = dict(zip((*LISTEN, "Metrics"), ports, strict=False))
        self.first_peer_port = ports[len(LISTEN) + 1]
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None

    def address(self, server: str) -> str:
        """Return HOST:PORT of one of the node's servers."""
        return f"{self.ip}:{self.ports[server]}"

    def write_settings(self, store: str, seeds: list[str], first_start: bool) -> Path:
        """Write the settings file and return its path."""
        path = self.folder / f"{self.name}.toml"
        lines = [
            f'Node = "{self.name}"',
            'Role = "gateway"',
            'MachineClass = "edge"',
            'Serves = ["edge","control","directory"]',
            f'Ip = "{self.ip}"',
            'Zone = "zone-1"',
            'Region = "region-1"',
            f"PortRange = [{self.first_peer_port}, {self.first_peer_port + 3}]",
            f"Seeds = {json.dumps(seeds)}",
            f"Bootstrap = {str(first_start).lower()}",
            "HeartbeatMs = 1200",
            'Contracts = ["base","drain","config","cost","retry","recover","kvcache","stream",'
            '"engine","tenants","platform"]',
            # The metrics port of the deploy file may be in use on this machine.
            f"MetricsPort = {self.ports['Metrics']}",
            "[Listen]",
            *(f'{name} = "{self.address(name)}"' for name in LISTEN),
            "[Limits]",
            "CpuShare = 0.537",
            "CpuCores = 2",
            f"MemoryMb = {self.memory_mb}",
            "MaxFds = 4100",
            "LinkMbps = 1000.0",
            "[Bounds]",
            *(f"{name} = {value}" for name, value in BOUNDS.items()),
            "[Provider]",
            f'Address = "{store}"',
            'form = "kv"',
            "WritesPerS = 400",
            "ReadsPerS = 2000",
            "HistoryS = 20",
            "ValueBytes = 1048576",
            "TtlMinMs = 1000",
        ]
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self, store: str, seeds: list[str], first_start: bool = True) -> None:
        """Start the process as the platform does."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        settings = self.write_settings(store, seeds, first_start)
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            "LIFTRILL_BOOT": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process = await asyncio.create_subprocess_exec(
            *deploy["roles"]["gateway"]["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=(self.folder / f"{self.name}.log").open("ab"),
            stderr=asyncio.subprocess.STDOUT,
        )

    async def wait_until_ready(self) -> None:
        """Wait until the node answers readiness checks with 200."""
        until = now_s() + READY_TIMEOUT_S
        while now_s() < until:
            answer = await call(
                self.address("Readiness"), "GET", "/liftrill/readyz", [("Host", "x")]
            )
            if answer is not None and answer.status == 200:
                return
            if self.process is not None and self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise UnableError(f"{self.name} is not ready")

    def resident_mb(self) -> float:
        """Return the memory of the process."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """A store, engines and nodes, which end with the block that uses it."""

    def __init__(self, engines: int, record: Record, nodes: int = 1) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.record = record
        network, ports = free_host_and_ports(12 + engines)
        self.network = network
        self._node_ports = ports[:9]
        self._engine_ports = iter(ports[10:])
        self.store = Store(f"{network}.1", ports[9])
        self.engines: list[Engine] = []
        self.nodes = [
            Node(
                f"edge-zone-1-{n}", f"{network}.{10 + n}", self._node_ports, Path(self._folder.name)
            )
            for n in range(1, nodes + 1)
        ]
        self._ids = (secrets.token_hex(8) for _ in itertools.count())

    async def __aenter__(self) -> "Deployment":
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes:
            await node.stop()
        for engine in self.engines:
            engine.close()
        self.store.close()
        self._folder.cleanup()

    async def add_engine(self, kind: Callable[..., Engine], name: str, service: str) -> Engine:
        """Start an engine and write its entry."""
        engine = kind(name, service, f"{self.network}.1", next(self._engine_ports))
        await engine.start()
        self.engines.append(engine)
        return engine

    def enter(self, engine: Engine) -> None:
        """Write an engine's entry in the store."""
        self.store.put(f"servers/{engine.engine_id}", engine.record())

    @property
    def seeds(self) -> list[str]:
        """The control addresses of up to three nodes."""
        return [node.address("Control") for node in self.nodes][:3]

    async def start_nodes(self) -> None:
        """Start the nodes and wait until all are ready."""
        for node in self.nodes:
            await node.start(self.store.address, self.seeds)
        for node in self.nodes:
            await node.wait_until_ready()
        # As on the platform, traffic starts some seconds after the machines do.
        await asyncio.sleep(3.0)

    async def send(
        self,
        path: str,
        key: str,
        node: int = 0,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"a request of a client",
        deadline_ms: int = 4000,
    ) -> tuple[str, Message | None]:
        """Send one client attempt on a new connection; return its id and its answer."""
        attempt = next(self._ids)
        sent = [
            ("Host", HOST),
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", str(deadline_ms)),
            ("Authorization", f"Token {key}"),
            *headers,
        ]
        self.record.write(f"client sends {attempt} to {path}")
        answer = await call(self.nodes[node].address("Front"), "POST", path, sent, body)
        text = "nothing" if answer is None else f"{answer.status}, {len(answer.body)} bytes"
        self.record.write(f"client gets {text} for {attempt}")
        return attempt, answer


def run_case(case: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if it could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"starts {'with' if trouble else 'without'} the disruption")

    async def bounded() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(MAX_RUN_S):
            return await case(record, trouble)

    try:
        held = asyncio.run(bounded())
    except (UnableError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
        sys.exit(2)
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
