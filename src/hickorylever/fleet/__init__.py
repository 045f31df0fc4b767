"""What operators declare: the inventory and the rules, compiled to one configuration."""

from .compiler import compile_fleet, decode, digest, encode

__all__ = ["compile_fleet", "decode", "digest", "encode"]
