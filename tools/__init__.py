"""Repository checks, run by `make lint`."""
