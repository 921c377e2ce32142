"""The engines as a node sees them, and which one serves a request."""
