"""Conversion between the messages of the package and their thrift structs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from thrift import TSerialization
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory

from lentilwell._messages import (
    Digest,
    EngineUse,
    GrantAnswer,
    GrantAsk,
    Identity,
    LeavingMark,
)
from lentilwell._wire import ttypes

MAX_FRAME_BYTES = 1_048_576
MAX_CONTAINER_ITEMS = 65_536

PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=MAX_CONTAINER_ITEMS
)
_StructT = TypeVar("_StructT")


class MessageError(Exception):
    """The bytes cannot be decoded as the expected thrift struct."""


def encode(struct: object) -> bytes:
    """Serialize a thrift struct with the compact protocol."""
    data: bytes = TSerialization.serialize(struct, PROTOCOL_FACTORY)
    return data


def decode(struct_type: Callable[[], _StructT], data: bytes) -> _StructT:
    """Deserialize and validate a thrift struct, or raise ``MessageError``."""
    try:
        struct: Any = TSerialization.deserialize(struct_type(), data, PROTOCOL_FACTORY)
        struct.validate()
    except Exception as error:
        raise MessageError(type(error).__name__) from error
    return struct  # type: ignore[no-any-return]


def encode_identity(identity: Identity) -> Any:
    """Convert an identity to its thrift struct."""
    return ttypes.Identity(identity.instance, identity.incarnation, identity.data_centre)


def decode_identity(wire: Any) -> Identity:
    """Convert a thrift struct to an identity."""
    return Identity(wire.instance, wire.incarnation, wire.data_centre)


def encode_leaving_mark(mark: LeavingMark) -> str:
    """Encode a leaving mark as two lines: the upstream's name and its incarnation."""
    return f"{mark.upstream}\n{mark.incarnation}"


def decode_leaving_mark(wire: str) -> LeavingMark:
    """Decode a leaving mark. Without a second line, the incarnation is empty (unknown)."""
    upstream, _, incarnation = wire.partition("\n")
    return LeavingMark(upstream, incarnation)


def encode_digest(digest: Digest) -> bytes:
    """Encode a digest as a message body."""
    uses = [
        ttypes.EngineUse(use.engine, use.streams, use.memory_tokens, use.backlog_tokens)
        for use in digest.uses
    ]
    wire = ttypes.Digest(
        sender=encode_identity(digest.sender),
        sequence=digest.sequence,
        configuration=digest.configuration,
        leaving=digest.leaving,
        uses=uses,
        leaving_upstreams=[encode_leaving_mark(mark) for mark in digest.leaving_upstreams],
        waiting=digest.waiting,
        waiting_tokens=digest.waiting_tokens,
    )
    return encode(ttypes.Message(digest=wire))


def decode_digest(wire: Any) -> Digest:
    """Convert a thrift struct to a digest."""
    uses = tuple(
        EngineUse(use.engine, use.streams, use.memory_tokens, use.backlog_tokens)
        for use in wire.uses
    )
    return Digest(
        sender=decode_identity(wire.sender),
        sequence=wire.sequence,
        configuration=wire.configuration,
        leaving=wire.leaving,
        uses=uses,
        leaving_upstreams=tuple(decode_leaving_mark(mark) for mark in wire.leaving_upstreams),
        waiting=wire.waiting,
        waiting_tokens=wire.waiting_tokens,
    )


def encode_grant_ask(ask: GrantAsk) -> bytes:
    """Encode a request for a grant as a message body."""
    sender = encode_identity(ask.sender)
    wire = ttypes.GrantAsk(ask.grant_id, sender, ask.engine, ask.memory_tokens, ask.wait_ms)
    return encode(ttypes.Message(ask=wire))


def decode_grant_ask(wire: Any) -> GrantAsk:
    """Convert a thrift struct to a request for a grant."""
    sender = decode_identity(wire.sender)
    return GrantAsk(wire.grant_id, sender, wire.engine, wire.memory_tokens, wire.wait_ms)


def encode_grant_answer(answer: GrantAnswer) -> bytes:
    """Encode the answer to a request for a grant as a message body."""
    wire = ttypes.GrantAnswer(
        answer.grant_id, answer.engine, answer.granted, answer.valid_ms, answer.retry_ms
    )
    return encode(ttypes.Message(answer=wire))


def decode_grant_answer(wire: Any) -> GrantAnswer:
    """Convert a thrift struct to the answer to a request for a grant."""
    return GrantAnswer(wire.grant_id, wire.engine, wire.granted, wire.valid_ms, wire.retry_ms)
