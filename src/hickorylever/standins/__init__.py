"""Simulated external systems for the demo, benchmarks and tests."""
