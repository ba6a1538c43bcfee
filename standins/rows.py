"""A stand-in for a table store over HTTP, with versioned rows, long-polled feeds and faults."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import h11

from standins.loopback import listen

DEFAULT_PAGE_ROWS = 500
# Tables of the operator and the servers, who write rows again that a restore has lost.
REWRITTEN_TABLES = ("op", "servers")


@dataclass
class Row:
    """One row; a removed row stays as a tombstone, so that feeds report the removal."""

    table: str
    key: str
    value: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True)
class Backup:
    """A copy of the rows that a store can be restored from."""

    rows: Mapping[tuple[str, str], Row]
    version: int


@dataclass
class RowStore:
    """The rows of a store, and its faults.

    ``status`` is the status of every response if set. While ``silent``, the store does not respond.
    With ``lose_answers``, writes take effect without a response. Feeds from a version before
    ``oldest_version`` fail. ``era`` is one higher after each restore and is sent with every
    response, unless it is 0. ``calls`` holds the path of each call.
    """

    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    version: int = 0
    oldest_version: int = 0
    era: int = 1
    status: int | None = None
    silent: bool = False
    lose_answers: bool = False
    calls: list[str] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def put(self, table: str, key: str, value: object) -> None:
        """Write a row; values other than bytes are encoded as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        await self._apply_change(Row(table, key, data, self.version + 1))

    async def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        await self._apply_change(Row(table, key, b"", self.version + 1, removed=True))

    def forget_history(self) -> None:
        """Keep the rows, but drop the history of changes."""
        self.oldest_version = self.version

    def back_up(self) -> Backup:
        """Return a copy of the rows to restore from."""
        return Backup(dict(self.rows), self.version)

    async def restore(self, backup: Backup) -> None:
        """Replace the rows and the version by a copy, start a new era and wake waiting feeds."""
        async with self.changed:
            self.rows, self.version = dict(backup.rows), backup.version
            # Else the store would refuse feeds from its own current version.
            self.oldest_version = min(self.oldest_version, backup.version)
            self.era += 1
            self.changed.notify_all()

    def list_lost_rows(self, backup: Backup) -> list[Row]:
        """Return the rows of the operator and the servers that a restore from a copy would lose."""
        return [
            row
            for key, row in self.rows.items()
            if row.table in REWRITTEN_TABLES and backup.rows.get(key) != row
        ]

    async def rewrite_row(self, row: Row, backup: Backup) -> None:
        """Write a lost row again, unless its key has been written since the restore."""
        known = self.rows.get((row.table, row.key))
        if known is None or known.version <= backup.version:
            await self._apply_change(replace(row, version=self.version + 1))

    async def _apply_change(self, row: Row) -> None:
        async with self.changed:
            self.version += 1
            self.rows[(row.table, row.key)] = row
            self.changed.notify_all()

    def list_rows(self, table: str, begin: str, limit: int) -> tuple[list[Row], bool]:
        """Return up to ``limit`` rows of a table from a key on, and whether there are more."""
        matching = sorted(
            (row for row in self.rows.values() if row.table == table and not row.removed),
            key=lambda row: row.key.encode(),
        )
        matching = [row for row in matching if row.key >= begin]
        return matching[:limit], len(matching) > limit

    async def wait_changes(self, table: str, after: int, wait_s: float) -> list[Row]:
        """Return the rows changed after a version; wait up to ``wait_s`` for the first change."""

        def list_changed() -> list[Row]:
            rows = [r for r in self.rows.values() if r.table == table and r.version > after]
            return sorted(rows, key=lambda row: row.version)

        async with self.changed:
            # A change may arrive just as the wait times out. It must be in this response, since the
            # version in the response already covers it and no later feed would return it.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait_for(lambda: bool(list_changed())), wait_s)
            return list_changed()


class RowServer:
    """Serves a ``RowStore`` over HTTP."""

    def __init__(self, store: RowStore) -> None:
        self.store = store
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> str:
        """Listen on loopback and return the address."""
        self._server, address = await listen(self._serve, port)
        return address

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while True:
                request = await _read_request(connection, reader)
                if request is None:
                    return
                await self._answer(connection, writer, *request)
                connection.start_next_cycle()
        except (h11.ProtocolError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        head: h11.Request,
        body: bytes,
    ) -> None:
        target = urlsplit(head.target.decode())
        query = dict(parse_qsl(target.query, keep_blank_values=True))
        self.store.calls.append(target.path)
        if self.store.silent:
            await asyncio.Event().wait()
        status = self.store.status or 0
        answer: dict[str, Any] = {}
        if not status:
            status, answer = await self._handle_call(target.path, query, body)
        if self.store.lose_answers and target.path == "/rows-tx":
            raise ConnectionError("response dropped by the lose_answers fault")
        data = json.dumps(answer).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        if self.store.era:
            headers.append(("Store-Era", str(self.store.era)))
        response = h11.Response(status_code=status, headers=headers)
        parts = [connection.send(response), connection.send(h11.Data(data=data))]
        parts.append(connection.send(h11.EndOfMessage()))
        writer.write(b"".join(part or b"" for part in parts))
        await writer.drain()

    async def _handle_call(
        self, path: str, query: Mapping[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        store = self.store
        if path == "/rows-get":
            limit = int(query.get("limit", DEFAULT_PAGE_ROWS))
            rows, more = store.list_rows(query["table"], query.get("from", ""), limit)
            return 200, {**_encode_rows(store, rows), "has_more": more}
        if path == "/rows-feed":
            after = int(query["after"])
            if not store.oldest_version <= after <= store.version:
                return 410, {}
            wait_s = int(query["wait_ms"]) / 1_000
            return 200, _encode_rows(store, await store.wait_changes(query["table"], after, wait_s))
        if path == "/rows-tx":
            for write in json.loads(body)["writes"]:
                await store.put(write["table"], write["key"], base64.b64decode(write["value"]))
            return 200, _encode_rows(store, [])
        return 404, {}


def _encode_rows(store: RowStore, rows: list[Row]) -> dict[str, Any]:
    encoded = [
        {
            "table": row.table,
            "part": "",
            "key": row.key,
            "schema_version": row.version,
            **({"removed": True} if row.removed else {"value": _encode_value(row.value)}),
        }
        for row in rows
    ]
    return {"rows": encoded, "schema_version": store.version, "now_ms": 0}


def _encode_value(value: bytes) -> str:
    return base64.b64encode(value).decode()


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> tuple[h11.Request, bytes] | None:
    head: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return head, body
        else:
            return None
