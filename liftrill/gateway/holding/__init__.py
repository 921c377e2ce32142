"""Buffering of bodies and answers for slow callers and engines, within a memory budget."""
