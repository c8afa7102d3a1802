"""Checks of the repository, run by `make lint`."""
