"""Repository tools: a check for `make lint` and a generator of a table."""
