"""The operators' page tells what the program does."""

import re

from sycamoreshed.gateway import metrics
from sycamoreshed.gateway import settings
from tools import eventtable


def test_the_table_of_events_is_current():
    """Made by ``python -m tools.eventtable``."""
    page = eventtable.PAGE.read_text()
    assert page[eventtable.section(page)] == eventtable.render()


def test_every_setting_of_the_gateway_is_told():
    page = eventtable.PAGE.read_text()
    for name in settings.Settings._fields:
        assert f"`{name}`" in page, name


def test_every_metric_of_the_gateway_is_told():
    page = eventtable.PAGE.read_text()
    found = metrics.GatewayMetrics().render().decode()
    names = set(re.findall(r"# HELP (\w+)", found))
    for name in names:
        told = name.removesuffix("_total").removesuffix("_created")
        assert f"`{told}`" in page, name
