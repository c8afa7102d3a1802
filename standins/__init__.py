"""Stand-ins for external services, for tests; not part of the binary."""
