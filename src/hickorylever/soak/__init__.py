"""Randomized soak test of router processes under injected faults."""

from .faults import faults
from .run import Plan, Report, run

__all__ = ["Plan", "Report", "faults", "run"]
