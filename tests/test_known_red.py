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
        "".join(f"t{n} | seen | 1\n" for n in range(4)),
    ],
)
def test_incomplete_or_long_lists_are_refused(text):
    with pytest.raises(ValueError):
        conftest.read_known_red(text)
