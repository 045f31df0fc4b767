"""Simulated store and endpoints of the platform, for tests. Routers do not import them."""
