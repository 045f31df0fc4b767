"""Conformance of code to a model, checked along random walks over its transitions."""


def follow(transitions, new, state_type, comparable, chance, count, steps):
    """Compare the states along `count` random walks and return the names of the labels taken.

    :param new: returns an object that runs the code, with `take(label)`, `state()` and
        `world.violations`.
    :param comparable: maps a state to the part of it that has to be equal.
    :param steps: range of the number of steps of a walk.
    """
    taken = set()
    for _ in range(count):
        real, state = new(), state_type()
        for _ in range(chance.randrange(*steps)):
            moves = transitions(tuple(state))
            if not moves:
                break
            label, following = chance.choice(moves)
            state = state_type(*following)
            real.take(label)
            taken.add(label.partition(" ")[0])
            assert comparable(real.state()) == comparable(state), label
        assert not real.world.violations
    return taken
