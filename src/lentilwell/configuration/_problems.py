"""What can be wrong with an inventory, as types that name section, key and line."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._errors import RefusedError


@dataclass(frozen=True)
class Problem:
    """Base of all problems. ``line`` counts from 1; 0 where the section was not read from text."""

    section: str
    key: str
    line: int

    @property
    def reason(self) -> str:
        """Say what is wrong and what is allowed."""
        return "is wrong"

    def __str__(self) -> str:
        place = f"[{self.section}]" if self.section else ""
        words = (f"line {self.line}:", place, self.key, self.reason)
        return " ".join(word for word in words if word)


@dataclass(frozen=True)
class BadSyntax(Problem):
    """A line is neither a section, nor a key with a value, nor a comment."""

    @property
    def reason(self) -> str:
        """Say what a line may be."""
        return "this line is neither a section, nor 'key = value', nor a comment; do not indent"


@dataclass(frozen=True)
class UnknownSection(Problem):
    """There is no such kind of section, or its name does not fit the kind."""

    allowed: str

    @property
    def reason(self) -> str:
        """List the kinds of section."""
        return f"is not a section; allowed are {self.allowed}"


@dataclass(frozen=True)
class DuplicateSection(Problem):
    """The section stands twice."""

    first_line: int

    @property
    def reason(self) -> str:
        """Say where the first one is."""
        return f"stands on line {self.first_line} already"


@dataclass(frozen=True)
class UnknownKey(Problem):
    """The section has no such key."""

    allowed: str

    @property
    def reason(self) -> str:
        """List the keys of the section."""
        return f"is not a key of this section; allowed are {self.allowed or 'none'}"


@dataclass(frozen=True)
class DuplicateKey(Problem):
    """The key stands twice in its section."""

    @property
    def reason(self) -> str:
        """Say that one must go."""
        return "stands twice in this section; leave one"


@dataclass(frozen=True)
class MissingKey(Problem):
    """The section lacks a key that has no default."""

    @property
    def reason(self) -> str:
        """Say that it needs a value."""
        return "is missing; give it a value"


@dataclass(frozen=True)
class BadNumber(Problem):
    """The value is not a whole number in its range."""

    least: int
    most: int

    @property
    def reason(self) -> str:
        """Give the range."""
        return f"must be a whole number from {self.least} to {self.most}"


@dataclass(frozen=True)
class BadChoice(Problem):
    """The value is not one of the allowed ones."""

    allowed: str

    @property
    def reason(self) -> str:
        """List what is allowed."""
        return f"must be one of {self.allowed}"


@dataclass(frozen=True)
class BadFlag(Problem):
    """The value is neither yes nor no."""

    @property
    def reason(self) -> str:
        """Give both values."""
        return "must be yes or no"


@dataclass(frozen=True)
class BadText(Problem):
    """The value is empty or goes over several lines."""

    @property
    def reason(self) -> str:
        """Say what a text is."""
        return "must be one line that is not empty"


@dataclass(frozen=True)
class BadUrl(Problem):
    """The value is not the base URL of an upstream."""

    @property
    def reason(self) -> str:
        """Give the form."""
        return "must be http://HOST:PORT or https://HOST:PORT, without path or user"


@dataclass(frozen=True)
class BadKeyDigest(Problem):
    """A key's digest is not a SHA-256 in hexadecimal."""

    @property
    def reason(self) -> str:
        """Give the form and how to make one."""
        return (
            "must be SHA-256 digests of 64 lower-case hexadecimal digits: printf %s KEY | sha256sum"
        )


@dataclass(frozen=True)
class SharedKeyDigest(Problem):
    """Two teams have the same key."""

    other: str

    @property
    def reason(self) -> str:
        """Name the other team."""
        return f"has a key that team {self.other} has too; each team needs keys of its own"


@dataclass(frozen=True)
class DanglingName(Problem):
    """The value names something that the inventory does not have."""

    kind: str
    name: str

    @property
    def reason(self) -> str:
        """Say what is not there."""
        return f"names {self.kind} {self.name}, which the inventory does not have"


@dataclass(frozen=True)
class UnknownPolicy(Problem):
    """The rules name a policy that is not registered."""

    allowed: str

    @property
    def reason(self) -> str:
        """List the policies."""
        return f"is not a policy; allowed are {self.allowed}"


@dataclass(frozen=True)
class NoEngines(Problem):
    """No engine is left for a team or a model."""

    @property
    def reason(self) -> str:
        """Say that there must be one."""
        return "has no engine left; it needs one or more"


class InventoryError(RefusedError):
    """The inventory is wrong and nothing was changed; ``problems`` lists all that was found."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))
