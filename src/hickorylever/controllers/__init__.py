"""Parts that keep state in the object API."""
