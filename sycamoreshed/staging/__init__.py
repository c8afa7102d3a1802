"""Multi-stage jobs: scheduling, batching and delegation between instances."""
