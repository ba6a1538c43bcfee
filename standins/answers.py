"""What a stand-in engine answers: tokens that depend on the model and the prompt alone.

Tests and the bench compute the same text, so that every byte of an answer can be checked.
"""

from __future__ import annotations

import hashlib


def answer_seed(model: str, prompt: bytes) -> str:
    """Return the seed of an answer: a short digest of model and prompt."""
    return hashlib.sha256(model.encode() + b"\0" + prompt).hexdigest()[:12]


def answer_token(seed: str, index: int) -> str:
    """Return the token of an answer at ``index``."""
    return f"{seed}-{index} "


def answer_text(model: str, prompt: bytes, tokens: int) -> str:
    """Return the first ``tokens`` tokens of the answer to a prompt."""
    seed = answer_seed(model, prompt)
    return "".join(answer_token(seed, index) for index in range(tokens))
