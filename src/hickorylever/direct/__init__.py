"""A router that forwards to endpoints itself, where no sidecar stands beside them."""
