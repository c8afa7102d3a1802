"""Builders, real processes and the fault-injecting proxy for tests."""
