"""Intents, plans and their confirmation."""
