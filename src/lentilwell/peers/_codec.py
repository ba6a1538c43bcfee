"""Between the package's messages and their thrift form."""

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

MAXIMUM_FRAME_BYTES = 1_048_576
MAXIMUM_CONTAINER_ITEMS = 65_536

PROTOCOLS = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAXIMUM_FRAME_BYTES, container_length_limit=MAXIMUM_CONTAINER_ITEMS
)
_StructT = TypeVar("_StructT")


class MessageError(Exception):
    """The bytes are not a message of ours."""


def encode(struct: object) -> bytes:
    """Return the compact form of a thrift struct."""
    data: bytes = TSerialization.serialize(struct, PROTOCOLS)
    return data


def decode(kind: Callable[[], _StructT], data: bytes) -> _StructT:
    """Read and check a thrift struct, or raise MessageError."""
    try:
        found: Any = TSerialization.deserialize(kind(), data, PROTOCOLS)
        found.validate()
    except Exception as error:
        raise MessageError(type(error).__name__) from error
    return found  # type: ignore[no-any-return]


def encode_identity(identity: Identity) -> Any:
    """Return the thrift form of an identity."""
    return ttypes.Identity(identity.instance, identity.incarnation, identity.data_centre)


def decode_identity(wire: Any) -> Identity:
    """Read an identity from its thrift form."""
    return Identity(wire.instance, wire.incarnation, wire.data_centre)


def encode_mark(mark: LeavingMark) -> str:
    """Return a mark as the upstream's name and its incarnation on two lines."""
    return f"{mark.upstream}\n{mark.incarnation}"


def decode_mark(wire: str) -> LeavingMark:
    """Read a mark; one without a second line names no incarnation."""
    upstream, _, incarnation = wire.partition("\n")
    return LeavingMark(upstream, incarnation)


def encode_digest(digest: Digest) -> bytes:
    """Return a digest as the body of a message."""
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
        leaving_upstreams=[encode_mark(mark) for mark in digest.leaving_upstreams],
        waiting=digest.waiting,
        waiting_tokens=digest.waiting_tokens,
    )
    return encode(ttypes.Message(digest=wire))


def decode_digest(wire: Any) -> Digest:
    """Read a digest from its thrift form."""
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
        leaving_upstreams=tuple(decode_mark(mark) for mark in wire.leaving_upstreams),
        waiting=wire.waiting,
        waiting_tokens=wire.waiting_tokens,
    )


def encode_ask(ask: GrantAsk) -> bytes:
    """Return an ask as the body of a message."""
    sender = encode_identity(ask.sender)
    wire = ttypes.GrantAsk(ask.grant_id, sender, ask.engine, ask.memory_tokens, ask.wait_ms)
    return encode(ttypes.Message(ask=wire))


def decode_ask(wire: Any) -> GrantAsk:
    """Read an ask from its thrift form."""
    sender = decode_identity(wire.sender)
    return GrantAsk(wire.grant_id, sender, wire.engine, wire.memory_tokens, wire.wait_ms)


def encode_answer(answer: GrantAnswer) -> bytes:
    """Return an answer as the body of a message."""
    wire = ttypes.GrantAnswer(
        answer.grant_id, answer.engine, answer.granted, answer.valid_ms, answer.retry_ms
    )
    return encode(ttypes.Message(answer=wire))


def decode_answer(wire: Any) -> GrantAnswer:
    """Read an answer from its thrift form."""
    return GrantAnswer(wire.grant_id, wire.engine, wire.granted, wire.valid_ms, wire.retry_ms)
