"""Prefix blocks: their names, and what is believed to be cached where."""
