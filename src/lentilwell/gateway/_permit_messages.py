"""Encodes the messages about permits as Thrift datagrams, and decodes them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from lentilwell._wire.ttypes import PermitAnswer as WireAnswer
from lentilwell._wire.ttypes import PermitAsk as WireAsk
from lentilwell._wire.ttypes import PermitMessage as WireMessage
from lentilwell.gateway._permit_owners import OwnerRole
from lentilwell.gateway._rate_limits import LimitReport
from lentilwell.gateway._work_digest import decode_limit, encode_limit

# A digest never begins with this byte, by which a message about permits is recognised.
PREFIX = b"\x00"
MAX_MESSAGE_BYTES = 1_024
# The patience of an ask that wants no permit.
NO_PERMIT = -1
# Bound on the waits in messages, longer than any caller waits.
MAX_WAIT_MS = 3_600_000
MAX_UNPERMITTED = 1_000
_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_MESSAGE_BYTES, container_length_limit=MAX_MESSAGE_BYTES
)


class UnreadablePermitMessage(ValueError):
    """A datagram does not contain a valid message about permits."""


class Verdict(Enum):
    """An owner's answer to an ask; the values are those of the wire format."""

    GRANTED = 1
    DENIED = 2
    NOT_OWNER = 3


@dataclass(frozen=True)
class PermitAsk:
    """Asks for a permit that holds within ``patience_ms``, or none if it is ``NO_PERMIT``.

    ``limit`` is what the asker knows of the upstream's limit. ``unpermitted`` counts the requests
    that it sent without a permit. ``settled`` is true if the asker's list of instances has not
    changed lately.
    """

    number: int
    limit: LimitReport
    role: OwnerRole
    patience_ms: int
    unpermitted: int = 0
    settled: bool = False


@dataclass(frozen=True)
class PermitAnswer:
    """The answer to the ask with the same number; ``wait_ms`` is the time until the permit holds.

    If it was denied, ``wait_ms`` is how long the next permit takes. ``limit`` is what the owner
    knows of the upstream's limit.
    """

    number: int
    verdict: Verdict
    wait_ms: int
    limit: LimitReport


PermitMessage = PermitAsk | PermitAnswer


def is_permit_message(data: bytes) -> bool:
    """Tell whether a datagram is a message about permits, not a digest."""
    return data.startswith(PREFIX)


def encode_permit_message(message: PermitMessage, now: int) -> bytes:
    """Return the bytes of a message; its times are encoded as ages."""
    limit = encode_limit(message.limit, now)
    if isinstance(message, PermitAsk):
        ask = WireAsk(
            message.number,
            limit,
            message.role.value,
            message.patience_ms,
            message.unpermitted,
            message.settled,
        )
        wire = WireMessage(ask=ask)
    else:
        wait_ms = min(message.wait_ms, MAX_WAIT_MS)
        answer = WireAnswer(message.number, message.verdict.value, wait_ms, limit)
        wire = WireMessage(answer=answer)
    data: bytes = serialize(wire, _FACTORY)
    return PREFIX + data


def decode_permit_message(data: bytes, now: int) -> PermitMessage:
    """Return the message in a datagram; raise ``UnreadablePermitMessage`` for an invalid one."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise UnreadablePermitMessage(f"{len(data)} bytes are too many")
    wire = WireMessage()
    try:
        deserialize(wire, data[len(PREFIX) :], _FACTORY)
        if wire.ask is not None:
            return _decode_ask(wire.ask, now)
        if wire.answer is not None:
            return _decode_answer(wire.answer, now)
    except Exception as error:  # the library raises many types of errors for malformed bytes
        raise UnreadablePermitMessage(repr(error)) from error
    raise UnreadablePermitMessage("the message is empty")


def _decode_ask(wire: WireAsk, now: int) -> PermitAsk:
    wire.validate()
    if not NO_PERMIT <= wire.patience_ms <= MAX_WAIT_MS:
        raise ValueError(f"patience of {wire.patience_ms} ms out of range")
    if not 0 <= wire.unpermitted <= MAX_UNPERMITTED:
        raise ValueError(f"{wire.unpermitted} requests without a permit out of range")
    limit = decode_limit(wire.limit, now)
    return PermitAsk(
        wire.number, limit, OwnerRole(wire.role), wire.patience_ms, wire.unpermitted, wire.settled
    )


def _decode_answer(wire: WireAnswer, now: int) -> PermitAnswer:
    wire.validate()
    if not 0 <= wire.wait_ms <= MAX_WAIT_MS:
        raise ValueError(f"wait of {wire.wait_ms} ms out of range")
    limit = decode_limit(wire.limit, now)
    return PermitAnswer(wire.number, Verdict(wire.verdict), wire.wait_ms, limit)
