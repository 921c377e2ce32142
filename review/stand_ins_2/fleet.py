"""Node processes, started with the command of the deploy file, and clients that send to them."""

import asyncio
import os
import random
import shlex
import signal
import socket
import tomllib
from pathlib import Path

from . import wire

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "desk.example"
KEY = "key-1"
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
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 10000,
    "IdleTimeoutMs": 15000,
}


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("")
        self._began_at = asyncio.get_running_loop().time()

    def __call__(self, text):
        """Write a line."""
        passed_s = asyncio.get_running_loop().time() - self._began_at
        with self._path.open("a") as file:
            file.write(f"{passed_s:8.3f} s  {text}\n")


def loopback_ip():
    """Return a loopback address that is used by nobody else in all likelihood."""
    return f"127.{random.randint(20, 200)}.{random.randint(1, 250)}.{random.randint(1, 250)}"


def free_ports(ip, count):
    """Return free ports at an address, of which the first two are adjacent."""
    while True:
        first = random.randint(20000, 30000)
        ports = list(range(first, first + count))
        sockets = []
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sockets.append(socket.socket(socket.AF_INET, kind))
                    sockets[-1].bind((ip, port))
            return ports
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()


class Node:
    """One process of the deploy file's role."""

    def __init__(self, name, folder, log):
        self.name = name
        self.ip = loopback_ip()
        self.process = None
        self._folder = Path(folder)
        self._log = log
        names = ("peer", "proxy", "front", "ready", "control", "directory", "metrics")
        self.ports = dict(zip(names, free_ports(self.ip, len(names)), strict=True))

    def address(self, server):
        """Return HOST:PORT of one of its servers."""
        return f"{self.ip}:{self.ports[server]}"

    def write_settings(self, store, seeds=(), first=True):
        """Write its settings file, as the page DEPLOY.md tells it."""
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        control = ", ".join(f'"{seed.address("control")}"' for seed in (seeds or [self]))
        self._settings = self._folder / f"{self.name}.toml"
        self._settings.write_text(f"""
Node = "{self.name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge", "directory", "control"]
Ip = "{self.ip}"
Zone = "zone-1"
Region = "region-1"
PortRange = [{self.ports["peer"]}, {self.ports["proxy"]}]
Seeds = [{control}]
Bootstrap = {str(first).lower()}
FaultCounted = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine",
  "tenants", "platform"]
MetricsPort = {self.ports["metrics"]}
[Zones]
zone-1 = "region-1"
[Listen]
Front = "{self.address("front")}"
Readiness = "{self.address("ready")}"
Control = "{self.address("control")}"
Directory = "{self.address("directory")}"
[Limits]
CpuShare = 0.537
CpuCores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
{bounds}
[Provider]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
""")

    async def start(self):
        """Start it with the command of the deploy file."""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"]
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(command),
            cwd=ROOT,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "LIFTRILL_BOOT": str(self._settings),
            },
            stdout=(self._folder / f"{self.name}.log").open("ab"),
            stderr=asyncio.subprocess.STDOUT,
        )
        self._log(f"{self.name}: started")

    def signal(self, number):
        """Send it a signal."""
        self._log(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        """End it, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log_lines(self):
        """Return what it has written."""
        return (self._folder / f"{self.name}.log").read_text().splitlines()

    async def is_ready(self):
        """Return whether it says that it is ready."""
        try:
            status, _, _ = await ask(self.address("ready"), "GET", "/liftrill/readyz", [], b"", 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def wait_ready(self, limit_s=30.0):
        """Wait until it is ready, and return whether it is."""
        until = asyncio.get_running_loop().time() + limit_s
        while not await self.is_ready():
            if self.process.returncode is not None or asyncio.get_running_loop().time() > until:
                return False
            await asyncio.sleep(0.02)
        self._log(f"{self.name}: ready")
        return True


async def ask(address, method, target, headers, body, limit_s):
    """Send one request on a new connection; return the status, headers and the whole body.

    The status is 0 if the connection was closed without a complete answer.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
            names = {name.lower() for name, _ in headers}
            lines += [] if "host" in names else [f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await wire.read_head(reader)
            if head is None:
                return 0, {}, b""
            line, found = head
            status = int(line.split(" ")[1])
            try:
                if "chunked" in found.get("transfer-encoding", ""):
                    content = b"".join([part async for part in wire.read_chunks(reader)])
                else:
                    content = await reader.readexactly(int(found.get("content-length", 0)))
            except (asyncio.IncompleteReadError, ConnectionError):
                return 0, found, b""
            return status, found, content
        finally:
            writer.close()


async def send(node, log, attempt_id, target, deadline_ms, headers=(), body=b"{}", method="POST"):
    """Send a client's request, log it and its answer, and return its status and body."""
    log(f"client: sends {attempt_id} {method} {target}")
    every = [("X-Attempt-Id", attempt_id), ("X-Deadline-Ms", str(deadline_ms)), *headers]
    front = node.address("front")
    try:
        status, _, content = await ask(front, method, target, every, body, deadline_ms / 1000 + 1)
    except (OSError, TimeoutError) as error:
        log(f"client: {attempt_id} ends with {type(error).__name__}")
        return -1, b""
    what = str(status) if status else "a closed connection without a complete answer"
    log(f"client: {attempt_id} gets {what}, {len(content)} bytes")
    return status, content


def prompt(model="model-1", part="5c1e07a2"):
    """Return the headers of a request to a model."""
    return [
        ("Authorization", f"Token {KEY}"),
        ("X-Model", model),
        ("X-Token-Usage", "1460,80"),
        ("X-Prompt-Prefix", f"{part}:800,{os.urandom(4).hex()}:660"),
    ]


def route(name, prefix, kind, service, **changes):
    """Return a route of the configuration."""
    fields = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 6000,
        "TargetLatencyMs": 800,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
    }
    return {**fields, **changes}


def configuration(routes, version=1, models=("model-1",)):
    """Return a configuration with one plain service and one of model engines."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": "desk", "HealthPath": "/healthz", "MaxConnections": 100},
            {
                "Name": "llm",
                "HealthPath": "/healthz",
                "MaxConnections": 100,
                "Engine": {"KvCapacity": 100000, "Models": [{"Name": m} for m in models]},
            },
        ],
        "Limits": LIMITS,
        "Tenants": [{"Name": "tenant-1", "ApiKeys": [KEY], "Priority": 1, "Isolated": False}],
    }
