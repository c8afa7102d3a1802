"""Registry of the kinds of stand-ins."""

from sycamoreshed.kernel import registry

__all__ = ["KINDS"]

KINDS = registry.Registry(kind="stand-in")
