"""Decision logic of routers and sidecars, without I/O; callers pass in the current time."""
