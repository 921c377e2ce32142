"""A small stand-in of the users' platform, written from its protocol page.

It knows the platform's names, so it lies with the tests: nothing of the product does.
"""
