"""Which stand-ins there are."""

from sycamoreshed.kernel import registry

__all__ = ["KINDS"]

KINDS = registry.Registry(kind="stand-in")
