"""What nodes tell each other."""
