"""Encodes what an instance knows of crashes as a Thrift datagram, and decodes it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import replace

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from lentilwell._wire.ttypes import AliveUpstream as WireAlive
from lentilwell._wire.ttypes import CondemnedParts as WireCondemned
from lentilwell._wire.ttypes import CrashNotice as WireNotice
from lentilwell._wire.ttypes import CutPrompt as WireCut
from lentilwell._wire.ttypes import SoundPart as WireSound
from lentilwell._wire.ttypes import UpstreamCrash as WireCrash
from lentilwell.gateway._condemned_subjects import FORGOTTEN_MS
from lentilwell.gateway._crash_notice import AliveUpstream, CrashNotice, SoundPart
from lentilwell.gateway._crash_records import Crash, CutRequest, Explanation
from lentilwell.gateway._upstreams import Incarnation

# Neither a digest nor a message about permits begins with this byte.
PREFIX = b"\x01"
MAX_NOTICE_BYTES = 8_192
# Bounds on what is told; the oldest is left out first.
MAX_TOLD_CRASH_BYTES = 5_120
MAX_TOLD_CUT_BYTES = 1_280
MAX_TOLD_CONDEMNED_BYTES = 3_072
MAX_TOLD_SOUND_PARTS = 64
MAX_TOLD_ALIVE = 16
# Bounds on texts in messages, longer than any id that a caller may send.
MAX_TEXT_LENGTH = 256
# Bytes of the encoding of a notice, a crash, a condemned set and a text, beside their texts.
NOTICE_BYTES = 32
CRASH_BYTES = 20
CONDEMNED_BYTES = 16
TEXT_BYTES = 3
KNOWN_END_BYTES = 10
_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_TEXT_LENGTH, container_length_limit=MAX_NOTICE_BYTES
)


class UnreadableCrashNotice(ValueError):
    """A datagram does not contain a valid notice of crashes."""


def is_crash_notice(data: bytes) -> bool:
    """Tell whether a datagram is a notice of crashes."""
    return data.startswith(PREFIX)


def encode_crash_notice(notice: CrashNotice, now: int) -> bytes:
    """Return the bytes of a notice within ``MAX_NOTICE_BYTES``; times are encoded as ages."""
    sound = sorted(notice.sound, key=lambda one: -one.at)[:MAX_TOLD_SOUND_PARTS]
    alive = sorted(notice.alive, key=lambda one: -one.at)[:MAX_TOLD_ALIVE]
    condemned = _select_condemned(notice.condemned)
    size = sum(TEXT_BYTES + CRASH_BYTES + len(one.upstream.name) for one in alive)
    size += sum(2 * TEXT_BYTES + len(one.part) for one in sound)
    size += sum(map(_measure_condemned, condemned))
    left = MAX_NOTICE_BYTES - NOTICE_BYTES - size
    crashes = _select_crashes(notice.crashes, min(left, MAX_TOLD_CRASH_BYTES))
    wire = WireNotice(
        [_encode_crash(crash, now) for crash in crashes],
        [WireSound(one.part, now - one.at) for one in sound],
        [
            WireCondemned(sorted(one.parts), now - one.first_at, now - one.last_at)
            for one in condemned
        ],
        [WireAlive(one.upstream.name, one.upstream.born_ms, now - one.at) for one in alive],
    )
    data: bytes = serialize(wire, _FACTORY)
    return PREFIX + data


def decode_crash_notice(data: bytes, now: int) -> CrashNotice:
    """Return the notice in a datagram; raise ``UnreadableCrashNotice`` for an invalid one."""
    if len(data) > 2 * MAX_NOTICE_BYTES:
        raise UnreadableCrashNotice(f"{len(data)} bytes are too many")
    wire = WireNotice()
    try:
        deserialize(wire, data[len(PREFIX) :], _FACTORY)
        wire.validate()
        return CrashNotice(
            tuple(_decode_crash(crash, now) for crash in wire.crashes),
            tuple(_decode_sound(sound, now) for sound in wire.sound),
            tuple(_decode_condemned(condemned, now) for condemned in wire.condemned),
            tuple(_decode_alive(alive, now) for alive in wire.alive),
        )
    except Exception as error:  # the library raises many types of errors for malformed bytes
        raise UnreadableCrashNotice(repr(error)) from error


def _select_crashes(crashes: Sequence[Crash], max_bytes: int) -> list[Crash]:
    """Return as many of the first crashes as fit into a notice, without cut requests beyond it.

    Cut requests that several crashes have in common come first. Of the parts of one that does not
    fit, the first are told.
    """
    crashes_under = Counter(one for crash in crashes for one in crash.fingerprints)
    selected, size = [], 0
    for crash in crashes:
        size += CRASH_BYTES + len(crash.upstream.name)
        if size > max_bytes:
            break
        kept = []
        for cut in sorted(crash.cut, key=lambda c: (-crashes_under[c.fingerprint], c.request)):
            told = _fit_cut(cut, min(max_bytes - size, MAX_TOLD_CUT_BYTES))
            if told is not None:
                size += _measure_cut(told)
                kept.append(told)
        selected.append(replace(crash, cut=frozenset(kept)))
    return selected


def _fit_cut(cut: CutRequest, max_bytes: int) -> CutRequest | None:
    """Return a cut request with as many of its first parts as fit, None if none does."""
    if _measure_cut(cut) <= max_bytes:
        return cut
    left, parts = max_bytes - _measure_cut(replace(cut, parts=())), []
    for part in cut.parts:
        left -= TEXT_BYTES + len(part)
        if left < 0:
            break
        parts.append(part)
    return replace(cut, parts=tuple(parts)) if parts else None


def _select_condemned(condemned: Iterable[Explanation]) -> list[Explanation]:
    """Return as many of the latest condemned sets as fit into a notice."""
    selected, size = [], 0
    for one in sorted(condemned, key=lambda one: -one.last_at):
        if size + _measure_condemned(one) <= MAX_TOLD_CONDEMNED_BYTES:
            size += _measure_condemned(one)
            selected.append(one)
    return selected


def _measure_condemned(condemned: Explanation) -> int:
    return CONDEMNED_BYTES + sum(TEXT_BYTES + len(part) for part in condemned.parts)


def _measure_cut(cut: CutRequest) -> int:
    ends = 0 if cut.known_ends is None else TEXT_BYTES + KNOWN_END_BYTES * len(cut.known_ends)
    return ends + sum(TEXT_BYTES + len(text) for text in (cut.request, *cut.subjects))


def _encode_crash(crash: Crash, now: int) -> WireCrash:
    cut = sorted(crash.cut, key=lambda one: one.request)
    return WireCrash(
        crash.upstream.name,
        crash.upstream.born_ms,
        now - crash.at,
        [_encode_cut(one) for one in cut],
    )


def _encode_cut(cut: CutRequest) -> WireCut:
    known_ends = None if cut.known_ends is None else sorted(cut.known_ends)
    return WireCut(cut.request, list(cut.parts), cut.fingerprint or None, known_ends)


def _decode_crash(wire: WireCrash, now: int) -> Crash:
    wire.validate()
    cut = frozenset(_decode_cut(one) for one in wire.cut)
    upstream = Incarnation(wire.upstream, wire.born_ms)
    return Crash(upstream, now - _check_age(wire.age_ms), cut)


def _decode_cut(wire: WireCut) -> CutRequest:
    wire.validate()
    known_ends = None if wire.known_ends is None else frozenset(wire.known_ends)
    return CutRequest(wire.request, tuple(wire.parts), wire.fingerprint or "", known_ends)


def _decode_sound(wire: WireSound, now: int) -> SoundPart:
    wire.validate()
    return SoundPart(wire.part, now - _check_age(wire.age_ms))


def _decode_condemned(wire: WireCondemned, now: int) -> Explanation:
    wire.validate()
    if not wire.parts:
        raise ValueError("no parts are condemned")
    first_at, last_at = now - _check_age(wire.first_age_ms), now - _check_age(wire.last_age_ms)
    return Explanation(frozenset(wire.parts), first_at, last_at)


def _decode_alive(wire: WireAlive, now: int) -> AliveUpstream:
    wire.validate()
    upstream = Incarnation(wire.upstream, wire.born_ms)
    return AliveUpstream(upstream, now - _check_age(wire.age_ms))


def _check_age(age_ms: int) -> int:
    if not 0 <= age_ms <= FORGOTTEN_MS:
        raise ValueError(f"age of {age_ms} ms out of range")
    return age_ms
