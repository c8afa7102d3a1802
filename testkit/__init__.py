"""Test support: builders, fakes, simulations, daemons and a proxy."""
