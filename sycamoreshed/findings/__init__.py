"""What instances learn from requests and engines, and tell each other."""
