"""What a check of recordings finds: one finding for each rule, and a report of a whole day."""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple, Optional

from .record import Row

RowsByKind = dict[str, list[Row]]
Limits = dict[str, Any]  # the settings' limits, by name

NAMED_BREACHES = 5  # breaches that a finding names one by one
READ_WITHIN = 0.25  # seconds in which a controller reads a new list: it looks every 0.2 s
STALE_RESOLVERS = ("keeps", "agent")
"""Kinds of receivers that drains bind: others serve expired answers, as RFC 8767 allows."""


class Finding(NamedTuple):
    """One rule's result.

    `nearest` is the nearest approach as a part of the rule's limit, 1 or more is a breach;
    `breaches` counts them; `said` names the nearest approach, or the breaches.
    """

    rule: str
    fraction_of_limit: float
    breaches: int
    summary: str


class FailedEndpoint(NamedTuple):
    """How long an endpoint that fell silent or hung was still used, in seconds."""

    fault: str
    address: str
    until_last_answer: float
    until_last_attempt: float


class Takeover(NamedTuple):
    """How many seconds a proxy was without a controller, and what had happened to it."""

    cause: str
    duration: float


class Report(NamedTuple):
    """The findings of one day's recordings."""

    findings: list[Finding]
    service: dict[str, dict[str, Any]]  # by request class: requests, part of the gain, outcomes
    late_sends: dict[str, dict[str, float]]  # by resolver kind: sends after a drain's grace
    answers: dict[str, int]  # by resolver kind
    failed_endpoints: list[FailedEndpoint]
    takeovers: list[Takeover]
    rows: int
    torn_bytes: int  # bytes at the end of files that held no whole row

    @property
    def all_rules_kept(self) -> bool:
        """Whether no rule was broken."""
        return all(not finding.breaches for finding in self.findings)


def finding(
    rule: str, fraction_of_limit: float, summary: str, breaches: Optional[int] = None
) -> Finding:
    """A finding; where breaches aren't counted, a nearest approach of 1 or more is one."""
    return Finding(
        rule,
        fraction_of_limit,
        int(fraction_of_limit >= 1) if breaches is None else breaches,
        summary,
    )


def in_order(rows: RowsByKind, kinds: Iterable[str]) -> list[Row]:
    """Rows of these kinds by time; those of one time in the order of the kinds."""
    return sorted((row for kind in kinds for row in rows[kind]), key=lambda row: row.at)


def readable_lists(lists: Sequence[Row]) -> list[Row]:
    """The lists that were true for long enough to be read.

    One that was torn, or replaced before a controller looked again, reached nobody.
    """
    following: list[Optional[Row]] = [*lists[1:], None]
    return [
        row
        for row, after in zip(lists, following)
        if row.told and (after is None or after.at - row.at >= READ_WITHIN)
    ]
