"""Errors of decoders on content from outside."""

import msgspec

# Text that is no UTF-8, and nesting that is too deep, are no errors of msgspec's own.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
