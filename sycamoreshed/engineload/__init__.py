"""What all instances have at each engine, and how fast engines work."""
