"""Deterministic answers of the stand-in engine, which depend only on the model and the prompt.

Tests and benchmarks compute the same text and compare every byte of an answer with it.
"""

from __future__ import annotations

import hashlib


def answer_seed(model: str, prompt: bytes) -> str:
    """Return the seed of an answer, a short digest of the model and the prompt."""
    return hashlib.sha256(model.encode() + b"\0" + prompt).hexdigest()[:12]


def answer_token(seed: str, index: int) -> str:
    """Return the token at ``index`` of the answer with this seed."""
    return f"{seed}-{index} "


def answer_text(model: str, prompt: bytes, tokens: int) -> str:
    """Return the first ``tokens`` tokens of the answer to a prompt."""
    seed = answer_seed(model, prompt)
    return "".join(answer_token(seed, index) for index in range(tokens))
