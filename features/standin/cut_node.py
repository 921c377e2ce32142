"""Runs the platform's program with links that a test cuts: those of connections, and datagrams.

While the file named by CUT_FILE exists, the program neither sends nor receives datagrams. Its
connections go where `link_addresses` redirects them.
"""

import asyncio
import os
from pathlib import Path

import uvloop

from features.standin import link_addresses
from features.standin.engine_links import CutKind, NodeLinks

CUT_FILE = "LIFTRILL_TEST_CUT_FILE"

real_create_datagram_endpoint = uvloop.Loop.create_datagram_endpoint


def is_cut():
    return Path(os.environ[CUT_FILE]).exists()


class CutTransport:
    """Sends datagrams unless they are cut."""

    def __init__(self, transport):
        self._transport = transport

    def sendto(self, data, address=None):
        if not is_cut():
            self._transport.sendto(data, address)

    def __getattr__(self, name):
        return getattr(self._transport, name)


class CutProtocol(asyncio.DatagramProtocol):
    """Receives datagrams for another protocol unless they are cut."""

    def __init__(self, protocol):
        self._protocol = protocol

    def connection_made(self, transport):
        self._protocol.connection_made(CutTransport(transport))

    def datagram_received(self, data, address):
        if not is_cut():
            self._protocol.datagram_received(data, address)

    def error_received(self, error):
        self._protocol.error_received(error)


async def create_datagram_endpoint(loop, factory, **options):
    """Open a socket whose datagrams can be cut."""
    return await real_create_datagram_endpoint(loop, lambda: CutProtocol(factory()), **options)


class NodeCut:
    """The links of one node to the store and to its peers, which a test cuts."""

    def __init__(self, directory, name):
        self.links = NodeLinks(directory / f"{name}.links")
        self._cut_path = directory / f"{name}.cut"

    @property
    def environment(self):
        """What a node's process needs for its links to be cut."""
        return {link_addresses.LINKS_FILE: str(self.links.path), CUT_FILE: str(self._cut_path)}

    def cut_connections(self, addresses):
        """Hold back what is sent to and from some addresses; open no new connections to them."""
        self.links.cut(CutKind.HANG, addresses)

    def cut_datagrams(self):
        """Lose all datagrams."""
        self._cut_path.touch()

    def restore(self):
        """Let connections and datagrams pass."""
        self.links.restore()
        self._cut_path.unlink(missing_ok=True)


def main():
    uvloop.Loop.create_datagram_endpoint = create_datagram_endpoint
    link_addresses.main()


if __name__ == "__main__":
    main()
