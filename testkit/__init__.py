"""Test support: builders, daemon processes, fakes and a faulty proxy."""
