"""One line of a result table."""

from __future__ import annotations


class Row:
    """Figures of one policy in one case.

    :param case: load and fault
    :param policy: measured policy, the project's own or a baseline
    :param figures: figures by name, rounded to four digits; names end with the unit
    """

    __slots__ = ("case", "figures", "policy")

    def __init__(self, case: str, policy: str, figures: dict[str, float]) -> None:
        self.case = case
        self.policy = policy
        self.figures = {name: float(f"{value:.4g}") for name, value in figures.items()}
