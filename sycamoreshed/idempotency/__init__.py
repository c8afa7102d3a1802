"""At-most-once execution of non-repeatable pipeline stages."""
