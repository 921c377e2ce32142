"""Engines in processes of their own, so that the kernel closes their connections when they end.

    python -m features.standin.engine_process ENGINE_ID SERVICE PORT OPTIONS [DESCRIPTOR]

With a descriptor it listens on that socket, which its parent holds as well. The process prints its
address, then a line for each request that it begins or ends. SIGTERM makes it stop as a leaving
engine does: it stops listening, completes its answers and ends. On SIGUSR1 it resets its
connections and ends. OPTIONS is a JSON object of fields of StandInEngine.
"""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import time

import aiohttp
from aiohttp import web

from features.standin.connections import reset
from features.standin.engine import Arrival, StandInEngine
from liftrill.bench.launcher import free_ports

MODULE = "features.standin.engine_process"
BEGAN, ENDED = "began", "ended"
# The fields of StandInEngine that a process is started with.
OPTIONS = (
    "weights",
    "events",
    "event_seconds",
    "event_bytes",
    "slots",
    "software_version",
    "names_version",
    "framing",
    "body_bytes",
    "body_seconds",
    "leaving_in",
    "born_unix_ms",
    "run_label",
    "exits_after_s",
    "report_seconds",
    "fault",
)
# An engine posts a run to the holder of its copy as the run begins, and deletes the copy once the
# run has ended well.
COPIES_PATH = "/copies/"
COPY_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
# How often an engine looks whether the bytes of an answer have gone.
LOOK_S = 0.001
# Ways in which a server ends that completes no answer. All close connections in order.
ONE_BY_ONE = "shut down, one connection after the other"
PORT_LAST = "shut down, its port last"
FOUR_FIRST = "shut down after four connections"
AT_ONCE = "shut down at once"
SHUTDOWNS = (ONE_BY_ONE, PORT_LAST, FOUR_FIRST, AT_ONCE)
CLOSES_EVERY_S = 0.03
PORT_CLOSES_AFTER_S = 0.05
FIRST_CLOSED, FIRST_CLOSED_BEFORE_S = 4, 0.15
# How long a process takes to end after it has closed its connections and its port.
EXIT_TAKES_S = 0.02
STOPPED_AND_KILLED, STOPPED_FOR_S = "stopped and killed", 0.3
WORKERS = 4


class EngineProcess(StandInEngine):
    """An engine that runs in a process of its own; this object holds what it reported."""

    async def start(self, port=0, listening=None):
        """Start the process and wait until it listens, at a port or on a socket that is shared."""
        shared = () if listening is None else (listening.fileno(),)
        options = {name: getattr(self, name) for name in OPTIONS}
        options["leaving_in"] = sorted(options["leaving_in"])
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            MODULE,
            self.engine_id,
            self.service,
            str(port or free_ports(1)[0]),
            json.dumps(options),
            *map(str, shared),
            pass_fds=shared,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.address = json.loads(await self._process.stdout.readline())["address"]
        self._reports = asyncio.ensure_future(self._read_reports())

    async def _read_reports(self):
        by_id = {}
        async for line in self._process.stdout:
            report = json.loads(line)
            if report["kind"] == BEGAN:
                arrival = Arrival(
                    report["id"], "POST", report["target"], report["headers"], b"", report["at"]
                )
                arrival.ran = True
                by_id[report["id"]] = arrival
                self.arrivals.append(arrival)
            elif report["id"] in by_id:
                by_id[report["id"]].ended_at = report["at"]
                by_id[report["id"]].finished = report["finished"]

    @property
    def running(self):
        """The requests that the engine works on, or worked on when it crashed."""
        return [arrival for arrival in self.arrivals if arrival.ended_at is None]

    @property
    def cut_short(self):
        """The requests that the engine began and did not complete."""
        return [arrival for arrival in self.arrivals if not arrival.finished]

    async def crash(self, port_closes_after_s=0.0, how="killed"):
        """End the process: `killed` as by the kernel, its connections `reset`, or shut down."""
        if how in SHUTDOWNS:
            self._process.stdin.write(f"{how}\n".encode())
        elif how == STOPPED_AND_KILLED:
            self._process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(STOPPED_FOR_S)
            self._process.send_signal(signal.SIGKILL)
        else:
            self._process.send_signal(signal.SIGKILL if how == "killed" else signal.SIGUSR1)
        await self._ended()
        self.crashed_at = time.monotonic()
        self.crashed.set()

    async def leave(self):
        """Let the engine complete its answers and end."""
        self._process.send_signal(signal.SIGTERM)
        await self._ended()

    async def stop(self):
        """End the process if it runs."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._ended()

    async def ended(self):
        """Wait until the process has ended by itself."""
        await self._ended()

    async def _ended(self):
        await self._process.wait()
        await self._reports


class SupervisedEngine(EngineProcess):
    """An engine whose supervisor listens on its socket as well, and keeps it when it has ended."""

    async def start(self, port=0):
        """Start the process on a socket that stays open."""
        self._listening = socket.create_server(("127.0.0.1", port))
        await super().start(port, self._listening)

    async def restart(self):
        """Start a process on the same socket."""
        self.born_unix_ms = time.time_ns() // 1_000_000
        await super().start(0, self._listening)

    async def hand_over(self, engine):
        """Let another engine answer on the same socket."""
        await engine.start(0, self._listening)

    async def stop(self):
        """End the process, and close the socket."""
        await super().stop()
        self._listening.close()


class EngineOfWorkers(EngineProcess):
    """An engine of several processes that accept connections on one socket."""

    async def start(self, port=0):
        """Start the processes."""
        self._listening = socket.create_server(("127.0.0.1", port))
        options = {name: getattr(self, name) for name in OPTIONS}
        self._workers = [
            EngineProcess(self.engine_id, self.service, **options) for _ in range(WORKERS)
        ]
        await asyncio.gather(*(worker.start(0, self._listening) for worker in self._workers))
        self.address = self._workers[0].address
        self._ended_worker = None

    @property
    def running(self):
        """The requests that the processes work on."""
        return list(itertools.chain.from_iterable(worker.running for worker in self._workers))

    @property
    def cut_short(self):
        """The requests that the process which ended had not completed."""
        return self._ended_worker.cut_short

    async def crash(self, port_closes_after_s=0.0, how="killed"):
        """End the process that has the most requests; the others go on."""
        self._ended_worker = max(self._workers, key=lambda worker: len(worker.running))
        await self._ended_worker.crash(how="killed")

    async def stop(self):
        """End the processes, and close the socket."""
        for worker in self._workers:
            await worker.stop()
        self._listening.close()


class ReportingEngine(StandInEngine):
    """The engine of such a process, which reports the requests that it runs."""

    def __post_init__(self):
        super().__post_init__()
        self._handlers = set()
        # The connections of the answers that are being written, in the order of their requests.
        self._transports = {}
        self.copies = {}

    def report(self, kind, **fields):
        print(json.dumps({"kind": kind, "at": time.monotonic(), **fields}), flush=True)

    async def _serve(self, request, arrival):
        self._handlers.add(asyncio.current_task())
        self._transports[arrival.attempt_id] = request.transport
        try:
            answer = await super()._serve(request, arrival)
            await _flushed(request)
            if arrival.finished and "X-Kv-Backup" in request.headers:
                await self._tell_holder("DELETE", request.headers["X-Kv-Backup"], arrival)
            return answer
        finally:
            self._transports.pop(arrival.attempt_id, None)
            if arrival.ran:
                self.report(ENDED, id=arrival.attempt_id, finished=arrival.finished)

    async def _handle(self, request):
        if not request.path.startswith(COPIES_PATH):
            return await super()._handle(request)
        name = f"{self.address}/{request.path.removeprefix(COPIES_PATH)}"
        if request.method == "POST":
            self.copies[name] = await request.json()
        else:
            self.copies.pop(name, None)
        return web.Response()

    async def copy_run(self, arrival, holder):
        """Let the engine at an address hold a copy of a run."""
        await self._tell_holder("POST", holder, arrival, json=[arrival.memory, arrival.run])

    async def _tell_holder(self, method, holder, arrival, **content):
        url = f"http://{holder}{COPIES_PATH}{arrival.attempt_id}"
        # A run goes on without a copy if its holder has ended.
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                aiohttp.ClientSession(timeout=COPY_TIMEOUT) as session,
                session.request(method, url, **content),
            ):
                return

    def began(self, arrival):
        """Report a request that is about to be run."""
        self.report(BEGAN, id=arrival.attempt_id, target=arrival.target, headers=arrival.headers)

    async def leave(self):
        """Stop listening, complete the answers and end."""
        await self._stop_listening()
        # Further requests may arrive on connections that are open.
        while running := [handler for handler in self._handlers if not handler.done()]:
            await asyncio.gather(*running, return_exceptions=True)
        await asyncio.sleep(self.exits_after_s)
        os._exit(0)

    async def shut_down(self, how):
        """Close the connections of the answers in order before they are complete, and end."""
        transports = list(self._transports.values())
        if how == AT_ONCE:
            await self._stop_listening()
        for transport in transports[: FIRST_CLOSED if how == FOUR_FIRST else None]:
            transport.abort()
            if how == ONE_BY_ONE:
                await asyncio.sleep(CLOSES_EVERY_S)
        ends_after_s = {
            PORT_LAST: PORT_CLOSES_AFTER_S,
            FOUR_FIRST: FIRST_CLOSED_BEFORE_S,
            AT_ONCE: EXIT_TAKES_S,
        }
        await asyncio.sleep(ends_after_s.get(how, 0.0))
        os._exit(0)

    def reset_and_end(self):
        """Reset all connections and end."""
        for handler in list(self._server.connections):
            if handler.transport is not None:
                reset(handler.transport)
        os._exit(1)


async def _flushed(request):
    """Wait until the kernel has all bytes of an answer: others would be lost with the process."""
    while True:
        if request.transport is None or not request.transport.get_write_buffer_size():
            return
        await asyncio.sleep(LOOK_S)


async def main(engine_id, service, port, options, descriptor=None):
    """Run an engine until the process is ended."""
    options = json.loads(options)
    engine = ReportingEngine(
        engine_id, service, **{**options, "leaving_in": frozenset(options["leaving_in"])}
    )
    loop = asyncio.get_running_loop()
    listening = None if descriptor is None else socket.socket(fileno=int(descriptor))
    await engine.start(int(port), listening)
    loop.add_signal_handler(signal.SIGTERM, lambda: asyncio.ensure_future(engine.leave()))
    loop.add_signal_handler(signal.SIGUSR1, engine.reset_and_end)
    print(json.dumps({"address": engine.address}), flush=True)
    orders = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), sys.stdin)
    if how := (await orders.readline()).decode().strip():
        await engine.shut_down(how)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
