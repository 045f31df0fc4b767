"""Pure decisions: state machines over frozen data, with time passed in and no I/O."""
