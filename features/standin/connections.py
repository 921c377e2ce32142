"""Fault injection for single connections."""

import socket
import struct


def reset(transport):
    """Close a connection with a TCP reset, which its peer can tell from an orderly close."""
    if transport.is_closing():
        return
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
