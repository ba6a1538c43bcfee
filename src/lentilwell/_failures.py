"""Errors returned to callers; each is a type with an HTTP status, a kind and a code."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True)
class Failure:
    """Base class of the errors returned to callers.

    ``status`` is the HTTP status; ``kind`` and ``code`` are the ``type`` and ``code`` fields of the
    API's error object. ``retry_after_ms`` is the delay before a retry, if it is known.
    """

    status: ClassVar[int] = 500
    kind: ClassVar[str] = "server_error"
    code: ClassVar[str] = "internal"

    @property
    def message(self) -> str:
        """Return one sentence with the cause of the error and what the caller can do."""
        return "The request failed inside the serving layer."

    @property
    def retry_after_ms(self) -> int | None:
        """Return the delay in milliseconds before a retry, or None if a retry would not help."""
        return None


@dataclass(frozen=True)
class InvalidRequest(Failure):
    """The request is malformed; ``reason`` names the field and its allowed values."""

    reason: str
    status: ClassVar[int] = 400
    kind: ClassVar[str] = "invalid_request_error"
    code: ClassVar[str] = "invalid_request"

    @property
    def message(self) -> str:
        """Return ``reason``, which describes the malformed part of the request."""
        return self.reason


@dataclass(frozen=True)
class BodyTooLarge(Failure):
    """The request body is larger than the instance accepts."""

    max_bytes: int
    status: ClassVar[int] = 413
    kind: ClassVar[str] = "invalid_request_error"
    code: ClassVar[str] = "body_too_large"

    @property
    def message(self) -> str:
        """Return a sentence with the size limit."""
        return f"The body is larger than {self.max_bytes} bytes; send a smaller body."


@dataclass(frozen=True)
class HeadersTooLarge(Failure):
    """The request line or the headers are larger than the instance accepts."""

    status: ClassVar[int] = 431
    kind: ClassVar[str] = "invalid_request_error"
    code: ClassVar[str] = "headers_too_large"

    @property
    def message(self) -> str:
        """Return a sentence with the parts of the request to shorten."""
        return "The request line or the headers are too large; send fewer or shorter headers."


@dataclass(frozen=True)
class ReadTimeout(Failure):
    """The caller did not send the complete request within the read timeout."""

    status: ClassVar[int] = 408
    kind: ClassVar[str] = "invalid_request_error"
    code: ClassVar[str] = "read_timeout"

    @property
    def message(self) -> str:
        """Return a sentence about the incomplete request."""
        return "The request was not complete before the read timeout; send it without pauses."


@dataclass(frozen=True)
class Unauthorized(Failure):
    """The request has no valid API key of a team or, from an operator, no valid token."""

    status: ClassVar[int] = 401
    kind: ClassVar[str] = "authentication_error"
    code: ClassVar[str] = "invalid_api_key"

    @property
    def message(self) -> str:
        """Return a sentence about the header for the API key."""
        return "Send your team's key as 'Authorization: Bearer KEY'."


@dataclass(frozen=True)
class UnknownModel(Failure):
    """The model is not in the inventory, or the team may not use it."""

    status: ClassVar[int] = 404
    kind: ClassVar[str] = "invalid_request_error"
    code: ClassVar[str] = "model_not_found"

    @property
    def message(self) -> str:
        """Return a sentence with the path that lists the models."""
        return "The model does not exist for this team; GET /v1/models lists the available models."


@dataclass(frozen=True)
class UnknownRoute(Failure):
    """The path is unknown, or names a service without instances for the team."""

    status: ClassVar[int] = 404
    kind: ClassVar[str] = "invalid_request_error"
    code: ClassVar[str] = "not_found"

    @property
    def message(self) -> str:
        """Return a sentence about the unknown path."""
        return "No resource exists at this path for this method."


@dataclass(frozen=True)
class MethodNotAllowed(Failure):
    """The path does not accept the method; ``allowed`` is its only accepted method."""

    allowed: str
    status: ClassVar[int] = 405
    kind: ClassVar[str] = "invalid_request_error"
    code: ClassVar[str] = "method_not_allowed"

    @property
    def message(self) -> str:
        """Return a sentence with the allowed method."""
        return f"This path accepts only {self.allowed} requests."


@dataclass(frozen=True)
class PromptTooLong(Failure):
    """The tokens of prompt and answer exceed the model's context length or the engines' memory."""

    limit_tokens: int
    status: ClassVar[int] = 400
    kind: ClassVar[str] = "invalid_request_error"
    code: ClassVar[str] = "context_length_exceeded"

    @property
    def message(self) -> str:
        """Return a sentence with the limit in tokens."""
        return f"Prompt and answer together exceed {self.limit_tokens} tokens; shorten the prompt."


@dataclass(frozen=True)
class Overloaded(Failure):
    """The request was not run: it cannot finish by its deadline, or no call slot is free."""

    retry_delay_ms: int
    status: ClassVar[int] = 429
    kind: ClassVar[str] = "overloaded_error"
    code: ClassVar[str] = "overloaded"

    @property
    def message(self) -> str:
        """Return a sentence that tells the caller to retry after the given delay."""
        return (
            "The request cannot finish by its deadline and was not run; retry as Retry-After says."
        )

    @property
    def retry_after_ms(self) -> int | None:
        """Return the expected time in milliseconds until the queue has drained."""
        return self.retry_delay_ms


@dataclass(frozen=True)
class NotReady(Failure):
    """The instance has no configuration, is full or is stopping; the request was not run."""

    retry_delay_ms: int = 1_000
    status: ClassVar[int] = 503
    kind: ClassVar[str] = "unavailable_error"
    code: ClassVar[str] = "not_ready"

    @property
    def message(self) -> str:
        """Return a sentence that says that the request was not run."""
        return "This instance is not accepting requests; the request was not run."

    @property
    def retry_after_ms(self) -> int | None:
        """Return the delay in milliseconds before a retry."""
        return self.retry_delay_ms


@dataclass(frozen=True)
class DeadlineExceeded(Failure):
    """The deadline passed before the answer was complete."""

    status: ClassVar[int] = 504
    kind: ClassVar[str] = "timeout_error"
    code: ClassVar[str] = "deadline_exceeded"

    @property
    def message(self) -> str:
        """Return a sentence about the missed deadline."""
        return "The deadline passed before the answer was complete."


@dataclass(frozen=True)
class UpstreamFailed(Failure):
    """All attempts within the deadline and the retry budget failed."""

    retry_delay_ms: int = 1_000
    status: ClassVar[int] = 502
    kind: ClassVar[str] = "upstream_error"
    code: ClassVar[str] = "upstream_failed"

    @property
    def message(self) -> str:
        """Return a sentence about the failed engines."""
        return "The engines serving this request failed; the answer is incomplete."

    @property
    def retry_after_ms(self) -> int | None:
        """Return the delay in milliseconds before a retry."""
        return self.retry_delay_ms


@dataclass(frozen=True)
class NotRun(Failure):
    """The call was not run, and this attempt will not run it later."""

    retry_delay_ms: int = 1_000
    status: ClassVar[int] = 503
    kind: ClassVar[str] = "unavailable_error"
    code: ClassVar[str] = "not_run"

    @property
    def message(self) -> str:
        """Return a sentence that says that a retry is safe."""
        return "The call was not run; it is safe to send it again with the same key."

    @property
    def retry_after_ms(self) -> int | None:
        """Return the delay in milliseconds before a retry."""
        return self.retry_delay_ms


@dataclass(frozen=True)
class AttemptNotRun(NotRun):
    """This attempt never held the claim, so it was not run and will not be run later.

    An earlier attempt with the same key may have run. The code therefore differs from ``not_run``,
    which says that the call itself was not run.
    """

    code: ClassVar[str] = "attempt_not_run"

    @property
    def message(self) -> str:
        """Return a sentence about this attempt and one about earlier attempts with the same key."""
        return (
            "This attempt was not run; it is safe to send it again with the same key. "
            "The outcome of any earlier attempt with that key is unchanged."
        )


@dataclass(frozen=True)
class NotRunKeyHeld(NotRun):
    """The call was not run, but the claim on its idempotency key is not released yet."""

    code: ClassVar[str] = "not_run_key_held"

    @property
    def message(self) -> str:
        """Return a sentence about the idempotency key that is still claimed."""
        return (
            "This attempt was not run, but its key is not released yet; calls with the same key "
            "fail with 'outcome_pending' until it is, and a new key can be used immediately."
        )


@dataclass(frozen=True)
class AlreadyRan(Failure):
    """An operator has recorded that the call ran; its answer is not known."""

    status: ClassVar[int] = 409
    kind: ClassVar[str] = "conflict_error"
    code: ClassVar[str] = "already_ran"

    @property
    def message(self) -> str:
        """Return a sentence that refers the caller to the service for the result."""
        return (
            "The call with this key ran and will not run again; check the service for its result."
        )


@dataclass(frozen=True)
class AnswerUnavailable(Failure):
    """The call ran and its answer is recorded, but the record cannot be read at the moment."""

    retry_delay_ms: int = 1_000
    status: ClassVar[int] = 503
    kind: ClassVar[str] = "unavailable_error"
    code: ClassVar[str] = "answer_unavailable"

    @property
    def message(self) -> str:
        """Return a sentence that asks the caller to retry."""
        return "The call with this key ran, but its answer cannot be read at the moment; retry."

    @property
    def retry_after_ms(self) -> int | None:
        """Return the delay in milliseconds before a retry."""
        return self.retry_delay_ms


@dataclass(frozen=True)
class ServiceFailed(Failure):
    """No instance of the service answered an idempotent call by its deadline."""

    retry_delay_ms: int = 1_000
    status: ClassVar[int] = 502
    kind: ClassVar[str] = "upstream_error"
    code: ClassVar[str] = "service_failed"

    @property
    def message(self) -> str:
        """Return a sentence that says that a retry is safe."""
        return "No instance of the service answered in time; the call can safely be sent again."

    @property
    def retry_after_ms(self) -> int | None:
        """Return the delay in milliseconds before a retry."""
        return self.retry_delay_ms


@dataclass(frozen=True)
class OutcomePending(Failure):
    """Another attempt with the same idempotency key holds the claim."""

    status: ClassVar[int] = 409
    kind: ClassVar[str] = "conflict_error"
    code: ClassVar[str] = "outcome_pending"

    @property
    def message(self) -> str:
        """Return a sentence about the other attempt."""
        return "An attempt with this key is in progress or not settled; it will not run twice."


@dataclass(frozen=True)
class OutcomeUnknown(Failure):
    """The call was sent but no answer was received; it may have run."""

    status: ClassVar[int] = 502
    kind: ClassVar[str] = "outcome_error"
    code: ClassVar[str] = "outcome_unknown"

    @property
    def message(self) -> str:
        """Return a sentence that refers the caller to the service for the result."""
        return (
            "The call was sent but not answered; it may have run. Check the service for its result."
        )


@dataclass(frozen=True)
class IdempotencyKeyReused(Failure):
    """The idempotency key was used before with a different request."""

    status: ClassVar[int] = 422
    kind: ClassVar[str] = "invalid_request_error"
    code: ClassVar[str] = "idempotency_key_reused"

    @property
    def message(self) -> str:
        """Return a sentence that asks for a new key."""
        return "This Idempotency-Key was used with a different request; use a new key."


@dataclass(frozen=True)
class IdempotencyKeyMissing(Failure):
    """The route requires an idempotency key, but the request has none."""

    status: ClassVar[int] = 400
    kind: ClassVar[str] = "invalid_request_error"
    code: ClassVar[str] = "idempotency_key_missing"

    @property
    def message(self) -> str:
        """Return a sentence that asks for the header."""
        return "This call is not idempotent; send an Idempotency-Key header."
