"""At-most-once execution of what may not be repeated."""
