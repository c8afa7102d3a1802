"""The configuration that release notes decide."""
