"""HTTP client for the engines' control calls and reports, and the JSON types of streams."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from lentilwell._http import HttpAnswer, HttpCall, send
from lentilwell._json import decode_json
from lentilwell._messages import LoadReport
from lentilwell._ports import CacheBatch, EngineControl, EngineUnreadable

CONTROL_TIMEOUT_MS = 1_000


@dataclass(frozen=True)
class OpenStream:
    """Request body that opens a stream on an engine.

    ``prefill_tokens`` is this engine's share of the prompt. ``continued`` is the text of the answer
    before ``first_index``. ``prefix`` is the chain of the prompt's block hashes, salted with the
    cache group. Where several engines share a request, ``role`` is ``lead`` for the primary engine
    and ``segment`` for the others; ``segments`` has the others' URLs, for the primary only.
    """

    stream: str
    owner: str
    incarnation: str
    role: str
    model: str
    prompt: str
    continued: str
    first_index: int
    answer_tokens: int
    prefill_tokens: int
    memory_tokens: int
    priority: int
    segments: tuple[str, ...] = ()
    prefix: tuple[int, ...] = ()


@dataclass(frozen=True)
class StreamLine:
    """One line of a stream: a token with its index, or the finish reason with the token count.

    ``end`` is the finish reason; ``tokens`` is -1 in an end line without a count.
    """

    stream: str
    index: int = -1
    text: str = ""
    end: str = ""
    tokens: int = -1


class HttpEngineControl(EngineControl):
    """Reads reports from engines and sends them control calls over HTTP."""

    def read_load(self, engine: str, url: str) -> Result[LoadReport, EngineUnreadable]:
        """Return the engine's load report, or EngineUnreadable if it names another engine."""
        answer = _call("GET", f"{url}/v1/load")
        if isinstance(answer, Err):
            return answer
        try:
            report = decode_json(answer.ok_value.body, LoadReport)
        except msgspec.DecodeError:
            return Err(EngineUnreadable())
        return Ok(report) if report.engine == engine else Err(EngineUnreadable())

    def read_cache_events(
        self, engine: str, url: str, after: int
    ) -> Result[CacheBatch, EngineUnreadable]:
        """Return the cache events with a sequence number above ``after``."""
        answer = _call("GET", f"{url}/v1/cache?after={after}")
        if isinstance(answer, Err):
            return answer
        try:
            return Ok(decode_json(answer.ok_value.body, CacheBatch))
        except msgspec.DecodeError:
            return Err(EngineUnreadable())

    def cancel_stream(self, url: str, stream: str) -> Result[None, EngineUnreadable]:
        """Cancel a stream and free its memory; a stream unknown to the engine counts as success."""
        return _call("DELETE", f"{url}/v1/streams/{stream}").map(lambda _: None)

    def change_priority(
        self, url: str, stream: str, priority: int
    ) -> Result[None, EngineUnreadable]:
        """Change a stream's priority."""
        body = msgspec.json.encode({"priority": priority})
        return _call("PATCH", f"{url}/v1/streams/{stream}", body).map(lambda _: None)

    def set_models(
        self, url: str, fence: int, models: tuple[str, ...]
    ) -> Result[None, EngineUnreadable]:
        """Order the engine to serve exactly these models; ``fence`` lets it reject older orders."""
        body = msgspec.json.encode({"fence": fence, "models": models})
        return _call("POST", f"{url}/v1/orders", body).map(lambda _: None)


def _call(method: str, url: str, body: bytes = b"") -> Result[HttpAnswer, EngineUnreadable]:
    answer = send(HttpCall(method, url, body=body, timeout_ms=CONTROL_TIMEOUT_MS))
    if isinstance(answer, Err) or answer.ok_value.status >= 300:
        return Err(EngineUnreadable())
    return answer
