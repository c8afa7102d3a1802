"""A serving system for multi-stage model pipelines."""

__all__ = ["__version__"]

__version__ = "0.1.0"
