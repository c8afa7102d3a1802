"""What the head of a response has to be, so that it can be written again.

The HTTP library's parser takes heads that its writer refuses or changes.  A
gateway writes to its callers what it has read from its servers, so a head
counts as one only if both agree on it.
"""

import re

__all__ = ["MAX_FIELDS", "HeadError", "check_framing", "check_head"]

# Of a response, together with its trailers.
MAX_FIELDS = 128
MAX_LENGTH_DIGITS = 18

# RFC 9110, sections 5.1, 5.5 and 15; RFC 9112, sections 4 and 5.
_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n"
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n"
    # Folded lines of a value, which the library joins.
    rb"(?:[ \t][^\x00-\x08\x0a-\x1f\x7f]*\r?\n)*)*"
    rb"\r?\n"
)
_SWITCHING_PROTOCOLS = 101


class HeadError(ValueError):
    """A response has a head that is none."""


def check_head(head):
    r"""Check the lines of a head, up to the empty one.

    Parameters
    ----------
    head : bytes

    Raises
    ------
    HeadError

    Examples
    --------
    >>> check_head(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n")
    >>> check_head(b"HTTP/1.1 000 OK\r\nA: b\r\n\r\n")
    Traceback (most recent call last):
    ...
    sycamoreshed.intake.heads.HeadError: not the head of a response
    """
    if _HEAD.fullmatch(head) is None:
        raise HeadError("not the head of a response")


def check_framing(message):
    """Check that it is clear where the body of a response ends.

    Parameters
    ----------
    message : aiohttp.http.RawResponseMessage

    Raises
    ------
    HeadError
    """
    if message.code == _SWITCHING_PROTOCOLS:
        raise HeadError("protocol switched unasked")
    headers = message.headers
    codings = headers.getall("Transfer-Encoding", ())
    lengths = headers.getall("Content-Length", ())
    if codings:
        is_known = [each.lower() for each in codings] == ["chunked"]
        if lengths or not is_known or message.version < (1, 1):
            raise HeadError("unknown framing of a response")
    elif lengths:
        digits = lengths[0]
        is_number = digits.isascii() and digits.isdecimal()
        if (
            len(lengths) > 1
            or not is_number
            or len(digits) > MAX_LENGTH_DIGITS
        ):
            raise HeadError("unknown length of a response")
