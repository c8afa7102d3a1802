"""Wire names, formats and calls of the users' platform; no decisions."""
