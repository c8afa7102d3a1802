import pytest

import conftest


def test_lines_are_read():
    text = "a.py::test_b | loses a vote | 6\n\n"
    assert conftest.read_known_red(text) == {
        "a.py::test_b": ("loses a vote (issue 6)", True)
    }


def test_a_fault_that_shows_sometimes_may_pass():
    text = "a.py::test_b | loses a vote | 6 | sometimes\n"
    (known,) = conftest.read_known_red(text).values()
    assert not known.is_strict


@pytest.mark.parametrize(
    "text",
    [
        "a.py::test_b | loses a vote\n",
        "a.py::test_b | loses a vote | 6 | often\n",
        "a.py::test_b | | 6\n",
        "a.py::test_b | loses a vote | later\n",
        "a.py::test_b | loses a vote | 6\na.py::test_b | is slow | 7\n",
    ],
)
def test_incomplete_lists_are_refused(text):
    with pytest.raises(ValueError):
        conftest.read_known_red(text)


def test_each_fault_that_is_found_can_be_listed():
    """The list of known failures has no maximum length.

    A run may find more faults than can be fixed in time; with a limit, the
    next one could only be hidden.
    """
    text = "".join(f"t{n} | seen | 1\n" for n in range(12))
    assert len(conftest.read_known_red(text)) == 12
