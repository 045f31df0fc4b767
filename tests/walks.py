"""Random walks over a model's transitions that the real decisions must follow."""


def follow(transitions, new, state_type, comparable, chance, count, steps):
    """Compare every state of `count` walks and return the labels that were taken.

    `new` makes the real side, with `take(label)`, `state()` and `world.violations`.
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
