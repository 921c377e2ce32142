"""Listeners, and fault injection for single connections."""

import asyncio
import socket
import struct


def reset(transport):
    """Close a connection with a TCP reset, which its peer can tell from an orderly close."""
    if transport.is_closing():
        return
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


async def connect(address):
    """Connect to HOST:PORT; return the reader and the writer of the bytes."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def listen(stack, serve):
    """Serve connections on loopback until a stack is closed; return the port."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    stack.callback(server.close)
    return server.sockets[0].getsockname()[1]
