"""Shares and subsets compared with a random choice among all servers of a pool."""

from __future__ import annotations

from statistics import fmean

import pytest

from packages.medlarpass.tests.dispatch.subset_model import SubsetModel

SEEDS = (1, 2)
SECONDS = 22.0
#: Upper bound of the share of requests that leave their domain. One domain gets 1.3 times its part
#: of the requests; up to 0.75 of the capacity, that is little above the threshold of 0.8.
MAX_CROSS_SHARES = {0.5: 0.02, 0.75: 0.12, 0.95: 0.15}


@pytest.mark.parametrize("utilisation", [0.5, 0.75, 0.95])
def test_shares_and_subsets_are_not_worse_than_a_random_choice(utilisation: float) -> None:
    """Guards against longer waits or more rejected requests, for fewer bytes between domains."""
    results: dict[bool, list[SubsetModel]] = {False: [], True: []}
    for uses_domains, models in results.items():
        for seed in SEEDS:
            model = SubsetModel(utilisation, uses_domains, seed)
            model.run(SECONDS)
            models.append(model)
    waits, rejected, cross = (
        {key: fmean(value(model) for model in models) for key, models in results.items()}
        for value in (
            lambda model: fmean(model.waits),
            lambda model: model.rejected_share,
            lambda model: model.cross_domain / (len(model.waits) + model.rejected),
        )
    )
    assert waits[True] <= waits[False]
    assert rejected[True] <= rejected[False]
    assert cross[True] <= MAX_CROSS_SHARES[utilisation]


def test_an_underestimated_capacity_still_spreads_the_load() -> None:
    """Guards against full queues in one domain while all domains seem to be overloaded.

    Response times include the wait in the queue where servers do not report their load.
    """
    models = [SubsetModel(0.95, True, seed, estimates_capacity=True) for seed in SEEDS]
    for model in models:
        model.run(SECONDS)
    assert fmean(model.rejected_share for model in models) <= 0.03
