"""What operators declare: the inventory and the rules, compiled to one configuration."""

from .compiler import compile_fleet
from .content import Content, decode, digest, encode

__all__ = ["Content", "compile_fleet", "decode", "digest", "encode"]
