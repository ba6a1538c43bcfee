"""HTTP client for the platform, registered under the name of its dialect."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result

from lentilwell._errors import AnswerLost, NotFound, PlatformFailure, Unavailable, VersionConflict
from lentilwell._http import HttpAnswer, HttpCall, send
from lentilwell._json import decode_json
from lentilwell._messages import Member, MemberKind
from lentilwell._ports import Platform, Row
from lentilwell.configuration import PlatformSettings

_BodyT = TypeVar("_BodyT")

DIALECTS: dict[str, Callable[[PlatformSettings], Platform]] = {}


def register_dialect(
    name: str,
) -> Callable[[Callable[[PlatformSettings], Platform]], Callable[[PlatformSettings], Platform]]:
    """Register the decorated class or function as the factory for a platform dialect."""

    def register(
        factory: Callable[[PlatformSettings], Platform],
    ) -> Callable[[PlatformSettings], Platform]:
        DIALECTS[name] = factory
        return factory

    return register


class _RowBody(msgspec.Struct):
    key: str
    value: bytes
    version: int


class _RowsBody(msgspec.Struct):
    rows: list[_RowBody]


class _VersionBody(msgspec.Struct):
    version: int


class _MemberBody(msgspec.Struct):
    name: str
    kind: MemberKind
    address: str
    data_centre: str
    incarnation: str
    leaving: bool = False


class _MembersBody(msgspec.Struct):
    # Decoded one by one, so that an invalid one does not hide the others.
    instances: list[msgspec.Raw]


@register_dialect("http")
class HttpPlatform(Platform):
    """Calls the platform's table service, object store and instance list over plain HTTP."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._url = settings.url.rstrip("/")
        self._timeout_ms = settings.timeout_ms

    def read_row(self, key: str) -> Result[Row | None, PlatformFailure]:
        """Return the row, or None if it does not exist."""
        answer = self._call("GET", f"/table/{quote(key)}")
        if answer.is_err():
            return Err(Unavailable())
        if answer.unwrap().status == 404:
            return Ok(None)
        return _decode(answer.unwrap(), _RowBody).map(_convert_row)

    def write_row(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[Row, PlatformFailure]:
        """Write the row if its current version is ``expected_version`` (0: no row)."""
        answer = self._send_conditional("PUT", key, value, expected_version)
        if isinstance(answer, Err):
            return answer
        body = _decode(answer.ok_value, _VersionBody)
        return body.map(lambda decoded: Row(key, value, decoded.version)).map_err(
            lambda _: AnswerLost()
        )

    def delete_row(self, key: str, expected_version: int) -> Result[None, PlatformFailure]:
        """Delete the row if its current version is ``expected_version``."""
        return self._send_conditional("DELETE", key, b"", expected_version).map(lambda _: None)

    def scan_rows(
        self, prefix: str, after: str = "", limit: int = 100
    ) -> Result[tuple[Row, ...], PlatformFailure]:
        """Return up to ``limit`` rows with the prefix and a key above ``after``, sorted by key."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        answer = self._call("GET", f"/table?{query}")
        if answer.is_err():
            return Err(Unavailable())
        rows = _decode(answer.unwrap(), _RowsBody)
        return rows.map(lambda body: tuple(_convert_row(row) for row in body.rows))

    def get_object(self, key: str) -> Result[bytes, PlatformFailure]:
        """Return an object's bytes, or NotFound if it does not exist."""
        answer = self._call("GET", f"/objects/{quote(key)}")
        if answer.is_err():
            return Err(Unavailable())
        response = answer.unwrap()
        if response.status == 404:
            return Err(NotFound())
        return Ok(response.body) if response.status == 200 else Err(Unavailable())

    def put_object(self, key: str, value: bytes) -> Result[None, PlatformFailure]:
        """Store an object under its key."""
        answer = self._call("PUT", f"/objects/{quote(key)}", value)
        if isinstance(answer, Err):
            return answer
        return Ok(None) if answer.ok_value.status == 200 else Err(Unavailable())

    def list_members(self) -> Result[tuple[Member, ...], PlatformFailure]:
        """Return the members of the platform's instance list, without those that are invalid."""
        answer = self._call("GET", "/instances")
        if answer.is_err():
            return Err(Unavailable())
        body = _decode(answer.unwrap(), _MembersBody)
        return body.map(lambda decoded: tuple(_decode_members(decoded.instances)))

    def _send_conditional(
        self, method: str, key: str, value: bytes, expected_version: int
    ) -> Result[HttpAnswer, PlatformFailure]:
        headers = (("If-Version", str(expected_version)),)
        answer = self._call(method, f"/table/{quote(key)}", value, headers)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == 412:
            decoded = _decode(answer.ok_value, _VersionBody)
            return Err(decoded.map_or(AnswerLost(), lambda body: VersionConflict(body.version)))
        if answer.ok_value.status == 200:
            return answer
        return Err(Unavailable() if answer.ok_value.status in (429, 503) else AnswerLost())

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Result[HttpAnswer, PlatformFailure]:
        call = HttpCall(method, self._url + path, headers, body, self._timeout_ms)
        return send(call).map_err(lambda failure: AnswerLost() if failure.sent else Unavailable())


def _decode(answer: HttpAnswer, body_type: type[_BodyT]) -> Result[_BodyT, PlatformFailure]:
    if answer.status not in (200, 412):
        return Err(Unavailable())
    try:
        return Ok(decode_json(answer.body, body_type))
    except msgspec.DecodeError:
        return Err(Unavailable())


def _convert_row(body: _RowBody) -> Row:
    return Row(body.key, body.value, body.version)


def _decode_members(raw_members: Iterable[msgspec.Raw]) -> Iterator[Member]:
    for raw in raw_members:
        with contextlib.suppress(msgspec.DecodeError):
            yield _convert_member(decode_json(bytes(raw), _MemberBody))


def _convert_member(body: _MemberBody) -> Member:
    return Member(
        body.name, body.kind, body.address, body.data_centre, body.incarnation, body.leaving
    )
