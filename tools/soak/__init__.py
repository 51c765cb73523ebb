"""Soak test: random faults against real processes with the platform adapter."""
