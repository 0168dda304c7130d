"""Results of checking a recording: one finding per rule, and the report of a day."""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple, Optional

from .record import Row

RowsByKind = dict[str, list[Row]]
Limits = dict[str, Any]  # the settings' limits, by name

MAX_LISTED_BREACHES = 5  # breaches that a finding names one by one
MAX_LIST_READ_DELAY = 0.25  # seconds until a controller, polling every 0.2 s, has read a new list
DRAIN_BOUND_RESOLVERS = ("keeps", "agent")
"""Resolver kinds to which the drain rule applies; others may use expired answers (RFC 8767)."""


class Finding(NamedTuple):
    """The result of checking one rule.

    `fraction_of_limit` is the highest value seen, divided by the rule's limit; from 1 on the rule
    is broken. Rules without a limit have the number of breaches instead. `breaches` is the number
    of breaches, and `summary` describes the highest value or the breaches.
    """

    rule: str
    fraction_of_limit: float
    breaches: int
    summary: str


class FailedEndpoint(NamedTuple):
    """How long a silent or hung endpoint was still used, in seconds since the fault."""

    fault: str
    address: str
    until_last_answer: float
    until_last_attempt: float


class Takeover(NamedTuple):
    """How many seconds a proxy was without a controller, and the cause."""

    cause: str
    duration: float


class Report(NamedTuple):
    """The findings and measurements of a day's recording."""

    findings: list[Finding]
    service: dict[str, dict[str, Any]]  # result of `measure_service`, by request class
    late_sends: dict[str, dict[str, float]]  # result of `check_drains`, by resolver kind
    answers: dict[str, int]  # number of answers, by resolver kind
    failed_endpoints: list[FailedEndpoint]
    takeovers: list[Takeover]
    rows: int  # number of recorded rows
    torn_bytes: int  # incomplete rows at the end of files

    @property
    def all_rules_kept(self) -> bool:
        """Whether no rule was broken."""
        return all(not finding.breaches for finding in self.findings)


def make_finding(
    rule: str, fraction_of_limit: float, summary: str, breaches: Optional[int] = None
) -> Finding:
    """Return a finding; if breaches are not counted, a fraction of 1 or more is one breach."""
    return Finding(
        rule,
        fraction_of_limit,
        int(fraction_of_limit >= 1) if breaches is None else breaches,
        summary,
    )


def rows_by_time(rows: RowsByKind, kinds: Iterable[str]) -> list[Row]:
    """Return the rows of these kinds by time; rows of the same time in the order of `kinds`."""
    return sorted((row for kind in kinds for row in rows[kind]), key=lambda row: row.at)


def readable_lists(lists: Sequence[Row]) -> list[Row]:
    """Return the correct endpoint lists that stayed long enough for a controller to read them."""
    next_lists: list[Optional[Row]] = [*lists[1:], None]
    return [
        row
        for row, next_list in zip(lists, next_lists)
        if row.told and (next_list is None or next_list.at - row.at >= MAX_LIST_READ_DELAY)
    ]
