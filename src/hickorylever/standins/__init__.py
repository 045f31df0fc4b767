"""Small stand-ins for the outside systems, for the demo, benches and tests only."""
