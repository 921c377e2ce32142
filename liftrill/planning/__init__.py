"""Intents, plans and their confirmation, and the controllers that move and update engines."""
