"""Stand-ins of the platform's store and endpoints; routers don't import them."""
