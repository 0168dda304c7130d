"""Logs of what happens to proxies and to the channel, so that one proxy can be followed through every steward.

    telemetry = Telemetry(log)
    telemetry.proxy_joined(7, brought_table=True)
    telemetry.message_written(7, ops)
    telemetry.end_batch(now, planner)

Two events are written. `proxies`: one for each batch in which proxies joined, left or were sent a whole table, with
their numbers. `channel`: once every `STATUS_EVERY` seconds while proxies wait for tables or lines in the channel,
with the planner's status and the counts since the event before. docs/on-call.md tells how to read them.
"""

STATUS_EVERY = 1.0  # seconds between two `channel` events


class Telemetry:
    """`log(event, **fields)` takes what is told. All times are seconds on the loop's clock."""

    def __init__(self, log):
        self.log = log
        self.joined, self.left, self.tables = [], {}, []
        self.counts, self.status_due = {}, 0.0

    def count(self, name, many=1):
        self.counts[name] = self.counts.get(name, 0) + many

    def proxy_joined(self, proxy, brought_table):
        self.joined.append(proxy)
        self.count("joined_with_table" if brought_table else "joined_without_table")

    def proxy_left(self, proxy, reason):
        self.left.setdefault(reason, []).append(proxy)
        self.count("left")

    def message_written(self, proxy, ops):
        """`ops`: what one message tells one proxy, as steward/channel.py gives it."""
        kinds = [op[0] for op in ops]
        removed = sum(op[0] == "line" and not value for op, value in ops.items())
        shut_out = sum(op[0] == "withdrawn" and bool(value) for op, value in ops.items())
        self.count("messages")
        self.count("lines", kinds.count("line"))
        self.count("removed_lines", removed)
        self.count("shut_out", shut_out)
        self.count("levels", kinds.count("level"))
        if "bind" in kinds:
            self.tables.append(proxy)
            self.count("tables")

    def applied(self, took):
        """A proxy answered a mark, `took` seconds after the order."""
        self.count("answers")
        self.counts["slowest_answer"] = max(took, self.counts.get("slowest_answer", 0.0))

    def end_batch(self, now, planner):
        """A batch's orders have been written."""
        if self.joined or self.left or self.tables:
            self.log("proxies", joined=self.joined, left=self.left, tables=self.tables)
            self.joined, self.left, self.tables = [], {}, []
        if now >= self.status_due:
            self.status_due = now + STATUS_EVERY
            self.tell_status(planner.status(now))

    def tell_status(self, status):
        if not (status.unassigned_proxies or status.queued_entries or self.counts):
            return
        fields = {name: round(value, 3) for name, value in status._asdict().items()}
        self.log("channel", **fields, since=self.counts)
        self.counts = {}
