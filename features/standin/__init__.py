"""A small stand-in for the users' platform, written from the description of its protocol.

It contains the platform's names, so it belongs to the tests: the product contains none of them.
"""
