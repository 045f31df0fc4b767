"""Whether an endpoint gets to one more request soon.

Answers the load of a pool with more work than it can do at once: work that an endpoint can't begin
soon is better kept back, where it can still go to another one and be sorted by urgency.
"""

from .records import EndpointEntry, Engine

PREFILL_RATE = 40_000.0  # Prompt tokens a second that an engine reads at least.
SLOT_TIME = 2.0  # Seconds that a request holds a slot of an engine.
ROOM_TIME = 0.4  # Seconds of work before a new request, up to which an engine has room.
PLAIN_ROOM = 2.0  # Requests for each slot that a plain endpoint has room for.


def backlog_time(slots: int, requests: int, prefill: float) -> float:
    """Return the seconds until an engine gets to a new request.

    :param requests: under way there.
    :param prefill: prompt tokens that it has still to read.
    """
    waiting = max(0, requests - slots)
    return prefill / PREFILL_RATE + waiting * SLOT_TIME / max(1, slots)


def has_room(entry: EndpointEntry, engine: Engine | None, requests: int, prefill: float) -> bool:
    """Tell whether an endpoint gets to one more request soon.

    :param engine: None for a plain endpoint; one that doesn't tell its slots always has room.
    :param requests: under way there.
    :param prefill: prompt tokens that it has still to read.
    """
    slots = entry.slots or (engine.slots if engine else 0)
    if engine is None:
        return slots == 0 or requests < PLAIN_ROOM * slots
    return requests < slots and backlog_time(slots, requests, prefill) <= ROOM_TIME
