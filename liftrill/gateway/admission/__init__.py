"""Which requests are served, and when the others come back."""
