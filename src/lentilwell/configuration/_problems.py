"""Validation errors of the inventory and of settings, each with its section, key and line."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._errors import RefusedError


@dataclass(frozen=True)
class Problem:
    """Base class of validation errors. ``line`` counts from 1; 0 means that it is unknown."""

    section: str
    key: str
    line: int

    @property
    def reason(self) -> str:
        """Return what is wrong and what is allowed."""
        return "is invalid"

    def __str__(self) -> str:
        location = f"[{self.section}]" if self.section else ""
        parts = (f"line {self.line}:", location, self.key, self.reason)
        return " ".join(part for part in parts if part)


@dataclass(frozen=True)
class BadSyntax(Problem):
    """A line is neither a section header, nor a key with a value, nor a comment."""

    @property
    def reason(self) -> str:
        """Return what a line may contain."""
        return "must be a section header, 'key = value' or a comment, without indentation"


@dataclass(frozen=True)
class UnknownSection(Problem):
    """The kind of section does not exist, or the title has the wrong number of names."""

    allowed: str

    @property
    def reason(self) -> str:
        """Return the allowed kinds of section."""
        return f"is not a known section; allowed are {self.allowed}"


@dataclass(frozen=True)
class DuplicateSection(Problem):
    """Two sections have the same title."""

    first_line: int

    @property
    def reason(self) -> str:
        """Return the line of the first section."""
        return f"is defined on line {self.first_line} already"


@dataclass(frozen=True)
class UnknownKey(Problem):
    """The key is not allowed in its section."""

    allowed: str

    @property
    def reason(self) -> str:
        """Return the keys allowed in the section."""
        return f"is not a key of this section; allowed are {self.allowed or 'none'}"


@dataclass(frozen=True)
class DuplicateKey(Problem):
    """The key occurs twice in its section."""

    @property
    def reason(self) -> str:
        """Return the text for a duplicate key."""
        return "is defined twice in this section; remove one"


@dataclass(frozen=True)
class MissingKey(Problem):
    """A key without a default value is missing."""

    @property
    def reason(self) -> str:
        """Return the text for a missing key."""
        return "is missing and has no default; set a value"


@dataclass(frozen=True)
class BadNumber(Problem):
    """The value is not a whole number in its range."""

    minimum: int
    maximum: int

    @property
    def reason(self) -> str:
        """Return the allowed range."""
        return f"must be a whole number from {self.minimum} to {self.maximum}"


@dataclass(frozen=True)
class BadChoice(Problem):
    """The value is not one of the allowed choices."""

    allowed: str

    @property
    def reason(self) -> str:
        """Return the allowed choices."""
        return f"must be one of {self.allowed}"


@dataclass(frozen=True)
class BadFlag(Problem):
    """The value is neither yes nor no."""

    @property
    def reason(self) -> str:
        """Return both allowed values."""
        return "must be yes or no"


@dataclass(frozen=True)
class BadText(Problem):
    """The value is empty or spans several lines."""

    @property
    def reason(self) -> str:
        """Return the rule for text values."""
        return "must be a single non-empty line"


@dataclass(frozen=True)
class BadUrl(Problem):
    """The value is not the base URL of an upstream."""

    @property
    def reason(self) -> str:
        """Return the allowed forms of a URL."""
        return "must be http://HOST:PORT or https://HOST:PORT, without path or user"


@dataclass(frozen=True)
class BadKeyDigest(Problem):
    """The value contains something other than SHA-256 digests in lower-case hexadecimal."""

    @property
    def reason(self) -> str:
        """Return the form of a digest and a command that computes one."""
        return (
            "must be SHA-256 digests of 64 lower-case hexadecimal digits: printf %s KEY | sha256sum"
        )


@dataclass(frozen=True)
class SharedKeyDigest(Problem):
    """Two teams share an API key."""

    other: str

    @property
    def reason(self) -> str:
        """Return the name of the other team."""
        return f"has a key that team {self.other} also has; teams cannot share keys"


@dataclass(frozen=True)
class DanglingReference(Problem):
    """The value refers to an object that is not in the inventory."""

    kind: str
    name: str

    @property
    def reason(self) -> str:
        """Return the kind and name of the missing object."""
        return f"refers to {self.kind} {self.name}, which is not in the inventory"


@dataclass(frozen=True)
class UnknownPolicy(Problem):
    """The value is not the name of a registered policy."""

    allowed: str

    @property
    def reason(self) -> str:
        """Return the names of the registered policies."""
        return f"is not a known policy; allowed are {self.allowed}"


@dataclass(frozen=True)
class NoEngines(Problem):
    """A team or model has no engine."""

    @property
    def reason(self) -> str:
        """Return the text for a team or model without engines."""
        return "has no engine; at least one is required"


class InventoryError(RefusedError):
    """The inventory is invalid, and nothing was changed; ``problems`` lists every problem."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))
