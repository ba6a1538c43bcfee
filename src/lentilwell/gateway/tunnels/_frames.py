"""Encodes what a tunnel carries, and decodes it. Pure, no I/O.

A tunnel begins with a line that names the upstream. What follows towards the upstream are the bytes
of requests. In the other direction they come in frames, so that an upstream's reset differs from
its regular end and from the end of the tunnel itself.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from lentilwell.gateway._addresses import is_ip_and_port

_HEADER = struct.Struct("!BI")
_REQUEST_PREFIX = b"tunnel "
_REQUEST_END = b"\n"
# Longer than the prefix with any address.
MAX_REQUEST_BYTES = 64
# Bounds what one frame makes the receiver hold.
MAX_FRAME_BYTES = 1_048_576


class UnreadableFrame(ValueError):
    """The bytes of a tunnel are not a valid request line or frame."""


class FrameKind(IntEnum):
    """What a frame says."""

    OPENED = 0
    # The instance that was asked could not connect to the upstream.
    UNREACHABLE = 1
    # The instance that was asked opens no tunnel now.
    REFUSED = 2
    DATA = 3
    # The upstream has closed its connection in the regular way.
    END = 4
    # The upstream's connection has broken.
    RESET = 5


_KINDS = frozenset(kind.value for kind in FrameKind)


@dataclass(frozen=True)
class Frame:
    """A frame; only those of kind ``DATA`` have data."""

    kind: FrameKind
    data: bytes = b""


def encode_frame(kind: FrameKind, data: bytes = b"") -> bytes:
    """Return the bytes of a frame."""
    return _HEADER.pack(kind, len(data)) + data


def encode_request(address: str) -> bytes:
    """Return the line that asks for a tunnel to the upstream at ``IP:PORT``."""
    return _REQUEST_PREFIX + address.encode() + _REQUEST_END


def decode_request(data: bytes) -> str | None:
    """Return the address in a request line, None while it is incomplete.

    Raise ``UnreadableFrame`` if it is invalid or followed by anything.
    """
    if len(data) > MAX_REQUEST_BYTES:
        raise UnreadableFrame("the request line is too long")
    if not data.endswith(_REQUEST_END):
        if _REQUEST_END in data:
            raise UnreadableFrame("bytes follow the request line")
        return None
    address = data.removeprefix(_REQUEST_PREFIX).removesuffix(_REQUEST_END)
    text = address.decode("ascii", "replace")
    if not data.startswith(_REQUEST_PREFIX) or not is_ip_and_port(text):
        raise UnreadableFrame("the request line has no address of the form IP:PORT")
    return text


class FrameDecoder:
    """Decodes frames from bytes that arrive in any pieces."""

    def __init__(self) -> None:
        self._received = bytearray()

    def decode(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes, and return the frames that are complete.

        Raise ``UnreadableFrame`` for an unknown kind or a frame that is too long.
        """
        self._received += data
        while (frame := self._take_frame()) is not None:
            yield frame

    def _take_frame(self) -> Frame | None:
        if len(self._received) < _HEADER.size:
            return None
        number, length = _HEADER.unpack_from(self._received)
        if number not in _KINDS or length > MAX_FRAME_BYTES:
            raise UnreadableFrame(f"no frame of kind {number} has {length} bytes")
        end = _HEADER.size + length
        if len(self._received) < end:
            return None
        data = bytes(self._received[_HEADER.size : end])
        del self._received[:end]
        return Frame(FrameKind(number), data)
