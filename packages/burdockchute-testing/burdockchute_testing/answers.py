"""What a whole answer of the stand-in engine is.

The text of an answer is a function of the weights that made it and of the
prompt, so that a checker who knows these can tell a whole answer from a
shortened one, from one of other weights and from one of another request.

>>> expected_text('d', '', 'good morning', 2) == ''.join(
...     token_text('d', '', 'good morning', index) for index in range(2)
... )
True
"""

from __future__ import annotations

from collections.abc import Callable

import blake3

# Blocks of this many blank-separated words make one step of the prefix
# cache; see docs/design/interfaces.md.
BLOCK_WORDS = 64
_WORD_HEX = 6


def expected_text(
    digest: str, adapter_digest: str, prompt: str, max_tokens: int
) -> str:
    """Give the whole text that these weights answer to this prompt."""
    token = tokens_of(digest, adapter_digest, prompt)
    return ''.join(token(index) for index in range(max_tokens))


def token_text(
    digest: str, adapter_digest: str, prompt: str, index: int
) -> str:
    """Give the text of one token, a word and a blank."""
    return tokens_of(digest, adapter_digest, prompt)(index)


def tokens_of(
    digest: str, adapter_digest: str, prompt: str
) -> Callable[[int], str]:
    """Give a function from a token's index to its text."""
    seed = '\0'.join((digest, adapter_digest, prompt)).encode()
    key = blake3.blake3(seed).digest()

    def token(index: int) -> str:
        word = blake3.blake3(key + index.to_bytes(4)).hexdigest()
        return word[:_WORD_HEX] + ' '

    return token


def prefixes_of(prompt: str) -> list[str]:
    """Give the digests of the prompt's first 1, 2, 3... whole blocks."""
    words = prompt.split()
    whole = len(words) // BLOCK_WORDS
    return [
        blake3.blake3(' '.join(words[: n * BLOCK_WORDS]).encode()).hexdigest()
        for n in range(1, whole + 1)
    ]
