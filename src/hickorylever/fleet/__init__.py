"""The declared configuration: compiles inventory and rules, and stores and compares revisions."""

from .compiler import compile_fleet
from .content import Content, decode, digest, encode

__all__ = ["Content", "compile_fleet", "decode", "digest", "encode"]
