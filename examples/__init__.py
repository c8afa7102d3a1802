"""A gallery of examples that run."""
