"""Random faults against real processes that run with the users' adapter."""
