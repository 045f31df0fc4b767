"""Checks of the models in `spec/` over all of their states."""

from minicheck import check_safety


def assert_holds(protocol, **limits):
    """Check that all states of a model were visited, and that its invariants hold in each."""
    result = check_safety(protocol, **limits)
    print(f"{protocol.name}: {result['reachable_states']} states")
    assert result["exhaustive"]
    assert all(found["holds"] is True for found in result["properties"].values())


def refuted(protocol, **limits):
    """Return the names of the invariants that have a counterexample."""
    properties = check_safety(protocol, **limits)["properties"]
    return {name for name, found in properties.items() if found["holds"] is False}


def failing(protocol, **limits):
    """Return the names of the invariants that are not proved to hold."""
    properties = check_safety(protocol, **limits)["properties"]
    return {name for name, found in properties.items() if found["holds"] is not True}
