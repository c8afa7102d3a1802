"""Registries of functions, filled by decorators."""

from sycamoreshed import exceptions

__all__ = ["Registry"]


class Registry:
    """A mapping from names to functions, filled by a decorator.

    Parameters
    ----------
    kind : str
        What is registered, for error messages.

    Examples
    --------
    >>> policies = Registry(kind="policy")
    >>> @policies.register("first")
    ... def first(items):
    ...     return items[0]
    >>> policies.get("first")([3, 4])
    3
    >>> policies.names()
    ['first']
    """

    def __init__(self, *, kind):
        self._kind = kind
        self._entries = {}

    def register(self, name):
        """Return a decorator that stores a function under `name`.

        Raises
        ------
        RegistryError
            If the name is already registered.
        """

        def decorate(func):
            if name in self._entries:
                raise exceptions.RegistryError(
                    f"{self._kind} {name!r} is registered twice"
                )
            self._entries[name] = func
            return func

        return decorate

    def get(self, name):
        """Return the function registered under `name`.

        Raises
        ------
        RegistryError
            If none is registered.
        """
        if name not in self._entries:
            known = ", ".join(self.names())
            raise exceptions.RegistryError(
                f"no {self._kind} {name!r}; known: {known}"
            )
        return self._entries[name]

    def names(self):
        """Return the registered names in alphabetical order."""
        return sorted(self._entries)
