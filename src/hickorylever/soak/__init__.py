"""Randomized soak test of router processes under injected faults."""

from .run import Report, run

__all__ = ["Report", "run"]
