"""Registry of what instances tell each other."""

import typing

import msgspec

from sycamoreshed.adapters import decoding
from sycamoreshed import exceptions

__all__ = ["Topic", "all_topics", "check", "find", "register"]

_topics = {}


class Topic(typing.NamedTuple):
    """A kind of finding.

    Parameters
    ----------
    name : str
    ttl_s : float
        Seconds after which a finding is forgotten.
    max_entries : int
        Findings that are remembered; the oldest one is forgotten first.
    is_durable : bool
        Whether findings are stored, so that they outlast all instances.
    value_type : type
        Of the values of findings.
    """

    name: str
    ttl_s: float
    max_entries: int
    is_durable: bool = False
    value_type: typing.Any = typing.Any


def register(topic):
    """Register a topic and return it.

    Raises
    ------
    RegistryError
        If the name is registered already.
    """
    if topic.name in _topics:
        raise exceptions.RegistryError(
            f"topic {topic.name!r} is registered twice"
        )
    _topics[topic.name] = topic
    return topic


def check(topic_name, value, stamp):
    """Check what others tell of a topic.

    Raises
    ------
    msgspec.ValidationError
        If a finding of this topic does not hold this.
    """
    decoding.check_integer(stamp)
    decoding.check_depth(value)
    topic = find(topic_name)
    # Another version of the program may know further topics.
    if topic is not None:
        msgspec.convert(value, topic.value_type)


def find(name):
    """Return the topic with a name, or None."""
    return _topics.get(name)


def all_topics():
    """Return all registered topics."""
    return tuple(_topics.values())
