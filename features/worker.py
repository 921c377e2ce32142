"""Runs features in a process of their own that ends within a time, with all that it started."""

import asyncio
import faulthandler
import gc
import os
import signal
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

import psutil

# Twice the time of the slowest file beside another run.
MAX_WORKER_S = 1_200.0
# A worker that reaches its limit prints its stacks and exits within this time.
EXIT_MARGIN_S = 30.0
# How long processes that were killed may take to end, and how often that is looked at.
KILLED_WITHIN_S, KILLED_LOOK_S = 10.0, 0.02
# How often a worker looks whether the run that started it has ended.
PARENT_LOOK_S = 1.0


class WorkerProcesses:
    """Starts workers and ends those that run when the run is interrupted."""

    def __init__(
        self, max_worker_s: float = MAX_WORKER_S, exit_margin_s: float = EXIT_MARGIN_S
    ) -> None:
        self._limit_s = max_worker_s + exit_margin_s
        self._running: set[subprocess.Popen[bytes]] = set()
        self._is_over = False

    def run(self, command: list[str], cwd: Path, env: dict[str, str], output_path: Path) -> None:
        """Run a command, and end it and the processes that it left after a time.

        Its output goes to a file: a process that it left could keep a pipe open for ever.
        """
        with output_path.open("wb") as output:
            process = subprocess.Popen(
                command, cwd=cwd, env=env, stdout=output, stderr=subprocess.STDOUT, process_group=0
            )
            self._running.add(process)
            if self._is_over:
                _end_group(process)
            try:
                try:
                    if process.wait(self._limit_s):
                        output.write(f"it ended with {process.returncode}\n".encode())
                except subprocess.TimeoutExpired:
                    output.write(f"it has not ended within {self._limit_s} s\n".encode())
                for left in _processes_of(process.pid):
                    output.write(f"left running: {left}\n".encode())
            finally:
                _end_group(process)
                self._running.discard(process)

    def stop(self) -> None:
        """End all workers, also those that are just being started."""
        self._is_over = True
        for process in list(self._running):
            _end_group(process)


def _processes_of(group: int) -> list[str]:
    """Return the command lines of the processes of a group."""
    commands = []
    for process in psutil.process_iter(["cmdline", "status"]):
        with suppress(ProcessLookupError):
            if os.getpgid(process.pid) == group and process.info["status"] != psutil.STATUS_ZOMBIE:
                commands.append(" ".join(process.info["cmdline"] or []))
    return commands


def _end_group(process: subprocess.Popen[bytes]) -> None:
    """Kill a group of processes, and wait until they have ended: the next use their ports."""
    with suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)
    process.wait()
    until = time.monotonic() + KILLED_WITHIN_S
    while left := _processes_of(process.pid):
        if time.monotonic() > until:
            print(f"killed, and still running {KILLED_WITHIN_S} s later: {left}", flush=True)
            return
        time.sleep(KILLED_LOOK_S)


def end_with_parent() -> None:
    """End this process and its group once its parent has ended, also if that was killed."""
    parent = os.getppid()

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(PARENT_LOOK_S)
        os.killpg(os.getpgrp(), signal.SIGKILL)

    threading.Thread(target=watch, daemon=True).start()


def end_after(max_s: float) -> None:
    """End this process after a time, and print what its threads and tasks wait for."""

    def end() -> None:
        print(f"\nnot done within {max_s} s", flush=True)
        faulthandler.dump_traceback(all_threads=True)
        for task in [each for each in gc.get_objects() if isinstance(each, asyncio.Task)]:
            if not task.done():
                task.print_stack(file=sys.stderr)
        os._exit(1)

    timer = threading.Timer(max_s, end)
    timer.daemon = True
    timer.start()
