"""Checks the rules and measures the service on recordings of the sockets, without any I/O.

The checks use no internal state of a controller except what the controller's feed sent over a
socket: messages and the length of the queue. Rules 6 and 7 are checked where the recording holds
assignments and versioned tables.
"""

from collections import Counter, defaultdict

from .availability import check_availability
from .channel import check_channel
from .controller_knowledge import ControllerKnowledge
from .drains import check_drains
from .effects import check_assignments, check_effects
from .findings import Finding, Limits, Report
from .published_tables import check_published_tables
from .record import Recording, Row
from .service import failed_endpoints, measure_service
from .slow_start import check_slow_start
from .takeovers import find_takeovers

__all__ = ["Finding", "Report", "check"]


def check(recording: Recording, limits: Limits, gains: dict[str, float]) -> Report:
    """Return the report of a day's recording; `gains` is the gain of one request by class."""
    rows: defaultdict[str, list[Row]] = defaultdict(list)
    for row in recording.rows:
        rows[row.kind].append(row)
    knowledge = ControllerKnowledge(rows)
    drains, late_sends = check_drains(rows, limits, knowledge)
    findings = [
        check_availability(rows, limits),
        check_effects(rows),
        drains,
        check_slow_start(rows, limits, knowledge),
        check_channel(rows, limits),
    ]
    if rows["order"]:
        findings.append(check_assignments(rows))
    if rows["held"]:
        findings.append(check_published_tables(rows, limits, knowledge))
    return Report(
        findings,
        measure_service(rows["req"], gains),
        late_sends,
        dict(Counter(row.resolver for row in rows["answer"])),
        failed_endpoints(rows),
        find_takeovers(rows),
        len(recording.rows),
        recording.torn_bytes,
    )
