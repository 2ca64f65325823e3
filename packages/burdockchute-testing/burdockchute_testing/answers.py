"""The expected answers of the stand-in engine.

The text of an answer is a function of the weights and the prompt. A checker
that knows both can tell a complete answer from a truncated one, from one of
other weights and from one to another request.

>>> expected_text('d', '', 'good morning', 2) == ''.join(
...     token_text('d', '', 'good morning', index) for index in range(2)
... )
True
"""

from __future__ import annotations

from collections.abc import Callable

import blake3

# The prefix cache works in blocks of this many words, which are separated by
# blanks; see docs/design/interfaces.md.
BLOCK_WORDS = 64
_WORD_HEX_DIGITS = 6


def expected_text(
    digest: str, adapter_digest: str, prompt: str, max_tokens: int
) -> str:
    """Return the complete answer of these weights to a prompt."""
    token = token_function(digest, adapter_digest, prompt)
    return ''.join(token(index) for index in range(max_tokens))


def token_text(
    digest: str, adapter_digest: str, prompt: str, index: int
) -> str:
    """Return the text of one token: a word and a blank."""
    return token_function(digest, adapter_digest, prompt)(index)


def token_function(
    digest: str, adapter_digest: str, prompt: str
) -> Callable[[int], str]:
    """Return a function that maps a token's index to its text."""
    seed = '\0'.join((digest, adapter_digest, prompt)).encode()
    key = blake3.blake3(seed).digest()

    def token(index: int) -> str:
        word = blake3.blake3(key + index.to_bytes(4)).hexdigest()
        return word[:_WORD_HEX_DIGITS] + ' '

    return token


def prefixes_of(prompt: str) -> list[str]:
    """Return the digests of the prompt's first 1, 2, 3... full blocks."""
    words = prompt.split()
    block_count = len(words) // BLOCK_WORDS
    return [
        blake3.blake3(' '.join(words[: n * BLOCK_WORDS]).encode()).hexdigest()
        for n in range(1, block_count + 1)
    ]
