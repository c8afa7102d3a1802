"""Benchmarks: open-loop load on real daemons with stand-in services."""
