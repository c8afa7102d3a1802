import pytest

from sycamoreshed import exceptions
from sycamoreshed.kernel import kernel
from sycamoreshed.kernel import registry


def plugin(name, *needs):
    return kernel.Plugin(name=name, needs=needs, start=None)


def named(*plugins):
    return {item.name: item for item in plugins}


def test_each_plugin_starts_after_what_it_needs():
    plugins = named(plugin("a", "c"), plugin("b", "a"), plugin("c"))
    order = [item.name for item in kernel.start_order(plugins)]
    assert order == ["c", "a", "b"]


@pytest.mark.parametrize(
    "plugins, text",
    [
        (named(plugin("a", "b"), plugin("b", "a")), "cycle"),
        (named(plugin("a", "z")), "unknown plug-in 'z'"),
    ],
)
def test_needs_that_cannot_be_met_are_refused(plugins, text):
    with pytest.raises(exceptions.RegistryError, match=text):
        kernel.start_order(plugins)


def test_a_name_is_registered_once():
    names = registry.Registry(kind="thing")
    names.register("a")(print)
    with pytest.raises(exceptions.RegistryError, match="twice"):
        names.register("a")(print)
    with pytest.raises(exceptions.RegistryError, match="known: a"):
        names.get("b")
