import pytest

from sycamoreshed import exceptions
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import registry


def plugin(name, *needs):
    return kernel.Plugin(name=name, needs=needs, start=None)


def by_name(*plugins):
    return {item.name: item for item in plugins}


def test_each_plugin_starts_after_what_it_needs():
    plugins = by_name(plugin("a", "c"), plugin("b", "a"), plugin("c"))
    order = [item.name for item in kernel.start_order(plugins)]
    assert order == ["c", "a", "b"]


@pytest.mark.parametrize(
    "plugins, text",
    [
        (by_name(plugin("a", "b"), plugin("b", "a")), "cycle"),
        (by_name(plugin("a", "z")), "unknown plug-in 'z'"),
    ],
)
def test_unknown_and_cyclic_needs_raise(plugins, text):
    with pytest.raises(exceptions.RegistryError, match=text):
        kernel.start_order(plugins)


def test_duplicate_and_unknown_names_raise():
    functions = registry.Registry(kind="thing")
    functions.register("a")(print)
    with pytest.raises(exceptions.RegistryError, match="twice"):
        functions.register("a")(print)
    with pytest.raises(exceptions.RegistryError, match="known: a"):
        functions.get("b")
