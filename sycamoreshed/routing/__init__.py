"""Selection of an endpoint for a stage."""
