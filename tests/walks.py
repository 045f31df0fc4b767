"""Conformance of code to a model, checked along random walks over its transitions."""


def follow(transitions, create, state_type, comparable, rng, count, steps):
    """Compare the states along `count` random walks and return the names of the labels taken.

    :param create: returns an object that runs the code, with `take(label)`, `state()` and
        `simulation.violations`.
    :param comparable: maps a state to the part of it that has to be equal.
    :param steps: range of the number of steps of a walk.
    """
    labels = set()
    for _ in range(count):
        implementation, state = create(), state_type()
        for _ in range(rng.randrange(*steps)):
            enabled = transitions(tuple(state))
            if not enabled:
                break
            label, following = rng.choice(enabled)
            state = state_type(*following)
            implementation.take(label)
            labels.add(label.partition(" ")[0])
            assert comparable(implementation.state()) == comparable(state), label
        assert not implementation.simulation.violations
    return labels
