"""Paths from a node to engines: its own links, and the proxies of other nodes."""
