"""Admission control: rate limits, queues and concurrency limits."""
