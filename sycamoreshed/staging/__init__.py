"""Stages made of pieces: batches shared by the instances of a zone."""
