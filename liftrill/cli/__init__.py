"""The `liftrill` command."""
