"""Guards against refusals that do not tell the caller that nothing was run."""

from __future__ import annotations

from medlarpass import Outcome
from medlarpass.dispatch import events
from medlarpass.dispatch import exceptions
from medlarpass.events import Event


def test_every_refusal_is_not_run_and_has_a_code_of_its_own() -> None:
    kinds = [
        each
        for each in vars(exceptions).values()
        if isinstance(each, type) and issubclass(each, exceptions.DispatchError)
    ]
    assert all(each.outcome is Outcome.NOT_RUN for each in kinds)
    assert len({each.code for each in kinds}) == len(kinds) == 5


def test_event_numbers_are_unique_and_in_range() -> None:
    numbers = [each.number for each in vars(events).values() if isinstance(each, Event)]
    assert len(set(numbers)) == len(numbers)
    assert all(4000 <= number <= 4099 for number in numbers)
