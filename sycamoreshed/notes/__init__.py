"""Release notes: validation, acceptance and distribution."""
