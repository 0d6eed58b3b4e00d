"""Prompt text, its estimated length in tokens and the hashes of its prefix blocks."""

import hashlib

from pimentospool._generated.callers import ChatMessage, ChatRequest, CompletionRequest

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 64
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
_HASH_BYTES = 8


def prompt_text(req: ChatRequest | CompletionRequest) -> str:
    """Return the prompt text of `req` as the engine prefills it."""
    if isinstance(req, CompletionRequest):
        return req.prompt
    return "".join(f"{msg.role}\n{_content_text(msg)}\n" for msg in req.messages)


def _content_text(msg: ChatMessage) -> str:
    if isinstance(msg.content, list):
        return "".join(part.text for part in msg.content)
    return msg.content or ""


def count_tokens(text: str) -> int:
    """Return the estimated number of tokens of `text`, at least 1."""
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)


def prefix_blocks(text: str) -> list[str]:
    """Return the hash of each complete block of `text`, in hex.

    Each hash also covers the blocks before it, so that equal hashes at a position mean
    equal text up to the end of that block.
    """
    data = text.encode()
    blocks = []
    previous = b""
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        chunk = data[start : start + BLOCK_BYTES]
        previous = hashlib.blake2b(previous + chunk, digest_size=_HASH_BYTES).digest()
        blocks.append(previous.hex())
    return blocks
