"""Scenarios, load, history checking and reports."""
