"""Release notes: check, accept, spread."""
