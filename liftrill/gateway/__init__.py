"""Forwarding of opaque requests by many nodes that share routes, engines and weights."""
