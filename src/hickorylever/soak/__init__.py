"""A randomized soak: real router processes, faults from outside, promises checked meanwhile."""

from .run import Report, run

__all__ = ["Report", "run"]
