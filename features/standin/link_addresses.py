"""Runs the platform's program with connections to engines that a test redirects.

The file named by LINKS_FILE contains a JSON object that maps the address of an engine to the
address to which the program's new connections go instead. It is read for each connection.
"""

import asyncio
import json
import os
import runpy
import sys
from pathlib import Path

import aiohttp

LINKS_FILE = "LIFTRILL_TEST_LINKS_FILE"

real_open_connection = asyncio.open_connection
real_resolve = aiohttp.TCPConnector._resolve_host


def redirected(host, port):
    """Return the host and port to which a connection to an address goes."""
    links = json.loads(Path(os.environ[LINKS_FILE]).read_text())
    target = links.get(f"{host}:{port}", f"{host}:{port}")
    target_host, _, target_port = target.rpartition(":")
    return target_host, int(target_port)


async def resolve(connector, host, port, traces=None):
    """Resolve the redirected address of a connection of aiohttp's client."""
    return await real_resolve(connector, *redirected(host, port), traces=traces)


async def open_connection(host, port, **options):
    """Open a connection to a redirected address."""
    return await real_open_connection(*redirected(host, port), **options)


def main():
    aiohttp.TCPConnector._resolve_host = resolve
    asyncio.open_connection = open_connection
    program = sys.argv[1]
    sys.path.insert(0, str(Path(program).parent))
    sys.argv = [program]
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
