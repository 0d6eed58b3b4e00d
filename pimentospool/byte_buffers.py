"""Buffers for long bodies, whose memory goes back to the system when they are freed.

A body that is gathered as a list of small chunks and joined needs twice its size, and
the allocator keeps the memory of the chunks for other small objects.
"""

import mmap

MAPPED_BYTES = 128 * 1024
"""Size from which a buffer has pages of its own, which are given back at once."""
GROWTH = 2
"""Factor by which a mapped buffer grows; a page needs memory once it is written."""
# A shared mapping can't grow beyond the size that it began with.
_FLAGS = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS


class ByteBuffer:
    """Gathers a body in one copy.

    Parameters
    ----------
    size_bytes : int
        Expected size, 0 if it isn't known.
    """

    def __init__(self, size_bytes: int = 0) -> None:
        self._small = bytearray()
        self._mapped: mmap.mmap | None = None
        self._size_bytes = 0
        if size_bytes >= MAPPED_BYTES:
            self._mapped = mmap.mmap(-1, size_bytes, flags=_FLAGS)

    def __len__(self) -> int:
        return self._size_bytes

    def append(self, data: bytes) -> None:
        """Append `data`, which must not be done after `take`."""
        self._size_bytes += len(data)
        if self._mapped is None:
            if self._size_bytes < MAPPED_BYTES:
                self._small += data
                return
            self._mapped = mmap.mmap(-1, GROWTH * self._size_bytes, flags=_FLAGS)
            self._mapped.write(self._small)
            self._small = bytearray()
        if self._size_bytes > len(self._mapped):
            self._mapped.resize(GROWTH * self._size_bytes)
        self._mapped.write(data)

    def take(self) -> bytes | memoryview:
        """Return all bytes appended; a long body is not copied."""
        if self._mapped is None:
            return bytes(self._small)
        return memoryview(self._mapped)[: self._size_bytes].toreadonly()
