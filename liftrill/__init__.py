"""A router for language-model traffic whose prompts share long prefixes."""

__version__ = "0.1.0"
