"""Guards against refusals whose outcome does not show that the request did not run."""

from __future__ import annotations

from medlarpass import Outcome
from medlarpass.dispatch import events
from medlarpass.dispatch import exceptions
from medlarpass.events import Event


def test_every_refusal_is_not_run_and_has_a_code_of_its_own() -> None:
    error_classes = [
        error_class
        for error_class in vars(exceptions).values()
        if isinstance(error_class, type) and issubclass(error_class, exceptions.DispatchError)
    ]
    assert all(error_class.outcome is Outcome.NOT_RUN for error_class in error_classes)
    assert len({error_class.code for error_class in error_classes}) == len(error_classes) == 5


def test_event_numbers_are_unique_and_in_range() -> None:
    numbers = [event.number for event in vars(events).values() if isinstance(event, Event)]
    assert len(set(numbers)) == len(numbers)
    assert all(4000 <= number <= 4099 for number in numbers)
