"""Lists the requests and prompt parts in quarantine and releases one of them.

python3 platform/quarantine.py show 10.200.1.7:8784
python3 platform/quarantine.py release 10.200.1.7:8784 FINGERPRINT
"""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable

import aiohttp
import defopt
from google.protobuf.message import DecodeError

from liftrill.coordination.range_store import Expectation, RangeStore, StoredItem
from liftrill.errors import SettingsError, StoreError
from liftrill.gateway.http_client import new_store_session
from liftrill.gateway.quarantine_records import (
    QUARANTINE_KEY_PREFIX,
    entry_of,
    fingerprint_of,
    key_of,
)

FAILED_EXIT_CODE = 1

StoreFactory = Callable[[aiohttp.ClientSession, str, Callable[[str], None]], RangeStore]
StoreAction = Callable[[RangeStore], Awaitable[None]]


class QuarantineCommand:
    """Subcommands that run on the store that `open_store` connects to."""

    def __init__(self, open_store: StoreFactory) -> None:
        self._open_store = open_store

    def show(self, store: str) -> None:
        """List the requests and prompt parts that are or were in quarantine.

        :param store: address of the platform's store, IP:PORT.
        """
        self._run(store, _show)

    def release(self, store: str, fingerprint: str) -> None:
        """Release a request or part from quarantine: nodes send it to engines again.

        :param store: address of the platform's store, IP:PORT.
        :param fingerprint: digest of the request or part, as in the list and in the nodes' logs.
        """
        if fingerprint_of(QUARANTINE_KEY_PREFIX + fingerprint) is None:
            raise SettingsError(f"{fingerprint!r} is not a fingerprint of 32 hexadecimal digits")

        async def remove(opened: RangeStore) -> None:
            await _release(opened, fingerprint)

        self._run(store, remove)

    def _run(self, address: str, action: StoreAction) -> None:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise SettingsError(f"{address!r} is not an address: expected IP:PORT")
        asyncio.run(self._run_on_store(address, action))

    async def _run_on_store(self, address: str, action: StoreAction) -> None:
        session = new_store_session()
        try:
            await action(self._open_store(session, address, _ignore_call))
        finally:
            await session.close()


def main(open_store: StoreFactory) -> int:
    """Run one subcommand and return the exit code."""
    command = QuarantineCommand(open_store)
    try:
        defopt.run([command.show, command.release])
    except (SettingsError, StoreError) as error:
        print(error, file=sys.stderr)
        return FAILED_EXIT_CODE
    return 0


def _ignore_call(call: str) -> None:
    """Ignore a call of the store, which this command does not count."""


async def _release(store: RangeStore, fingerprint: str) -> None:
    key = key_of(bytes.fromhex(fingerprint))
    item = (await store.read(key)).item
    if item is None:
        raise SettingsError(f"request {fingerprint} is not in quarantine")
    await store.transact((Expectation(key, item.revision),), (), (key,))
    print(f"released {fingerprint}")


async def _show(store: RangeStore) -> None:
    after = ""
    while True:
        page = await store.read_range(QUARANTINE_KEY_PREFIX, after)
        for item in page.items:
            print(_format_item(item))
        if not page.more or not page.items:
            return
        after = page.items[-1].key


def _format_item(item: StoredItem) -> str:
    """Return a line that describes a stored quarantine record."""
    try:
        entry = entry_of(item)
    except DecodeError as error:
        return f"{item.key}: {error!r}"
    if entry is None:
        return f"{item.key}: the key has no valid fingerprint"
    remaining_s = max(0.0, entry.until_unix_s - time.time())
    engines = ", ".join(entry.engines)
    part = f"part {entry.part}, " if entry.part else ""
    scope = " only" if entry.only_tenant else ""
    companions = " ".join(companion.hex() for companion in entry.companions)
    with_parts = f", with {companions}" if companions else ""
    return (
        f"{entry.fingerprint.hex()} {remaining_s:.0f} s left, {entry.quarantine_count} times, "
        f"{part}route {entry.route or '-'}, tenant {entry.tenant or '-'}{scope}{with_parts}, "
        f"ended: {engines}"
    )
