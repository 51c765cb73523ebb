"""Measurements of the decision logic (balancing, placement, limits) on seeded traces and faults."""
