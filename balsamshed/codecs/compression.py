"""Compression of the views that balancers send to each other.

A table of 3,000 routes takes 180 KB as JSON, and a fifth of that compressed.
"""

import zlib
from typing import Final

#: Limit of a decompressed view, so that a malformed one cannot use up the
#: memory of a small VM.
MAX_VIEW_BYTES: Final = 32_000_000
#: Routes repeat the same names, so that the fastest level is sufficient.
_LEVEL: Final = 1


def compress(content: bytes) -> bytes:
    """Return the compressed content."""
    return zlib.compress(content, _LEVEL)


def decompress(compressed: bytes) -> bytes | None:
    """Return the content; None if it is malformed, incomplete or too large."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, MAX_VIEW_BYTES)
    except zlib.error:
        return None
    return content if decompressor.eof else None
