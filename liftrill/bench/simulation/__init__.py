"""Policies side by side in virtual time, over the same arrivals."""
