"""The configuration, its schema, and the changes made by release notes."""
