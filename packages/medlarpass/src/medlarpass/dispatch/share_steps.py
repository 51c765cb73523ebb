"""Rounds shares so that small changes are not sent to entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Number of steps into which the requests of a domain are divided: 2% each.
STEP_COUNT = 50
#: Difference, in steps, up to which shares already sent stay in force. It exceeds half a step, so
#: that a share between two steps does not alternate between them.
HYSTERESIS_STEPS = 0.75
#: Sum of the shares from which none of the requests stays in the domain.
WHOLE_SHARE = 0.995


def rounded_shares(exact: Mapping[str, float], sent: Mapping[str, float]) -> dict[str, float]:
    """Return the shares of one failure domain to send.

    :param exact: share by domain of the servers, from 0 to 1; what is left stays in the domain
    :param sent: shares sent last
    """
    is_whole = sum(exact.values()) >= WHOLE_SHARE
    if not is_whole and sent and _are_close(exact, sent):
        return dict(sent)
    steps = {domain: int(share * STEP_COUNT) for domain, share in exact.items()}
    if is_whole:
        missing = STEP_COUNT - sum(steps.values())
        by_rest = sorted(exact, key=lambda domain: steps[domain] - exact[domain] * STEP_COUNT)
        for domain in by_rest[: max(missing, 0)]:
            steps[domain] += 1
    else:
        steps = {domain: round(share * STEP_COUNT) for domain, share in exact.items()}
    return {domain: count / STEP_COUNT for domain, count in steps.items() if count > 0}


def _are_close(exact: Mapping[str, float], sent: Mapping[str, float]) -> bool:
    return sum(sent.values()) < WHOLE_SHARE and all(
        abs(exact.get(domain, 0.0) - sent.get(domain, 0.0)) * STEP_COUNT <= HYSTERESIS_STEPS
        and (domain in exact or domain not in sent)
        for domain in {*exact, *sent}
    )
