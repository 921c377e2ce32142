"""The `liftrill` command and its subcommands."""
