"""Measurements of the deciding code over seeded traces of load and faults."""
