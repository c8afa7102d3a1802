"""Planned stops: which requests end before this instance does."""
