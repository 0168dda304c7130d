"""Why a version is as it is, in operators' words. Pure.

A planner's orders say what, not why; what happened to a host lately says why. So each host's last
news is kept: from the list, from the planner's own log lines, from the steps of its ramp. A line
that changes bears that news.
"""

CAUSES_MOST = 6  # told of one version


class ChangeCauses:
    """`name_of(host)`, `listed_of(host)`: its name and whole weight."""

    def __init__(self, name_of, listed_of):
        self.name_of, self.listed_of, self.news = name_of, listed_of, {}
        self.whole = {}  # for changes of tables as a whole: text -> when

    def phases(self, members, version):
        """Hosts whose phase in the list changed: {host: (before, after)}."""
        for host, (before, after) in members.items():
            text = {"ready": "listed", "draining": "drains", "gone": "is gone"}[after]
            self.news[host] = f"{text}, list {version}" + (f" (was {before})" if before else "")

    def planner_said(self, text):
        """`host 3 dropped: sums`, `host 3 reach 0.75`, `way from zone 0 to 1 is bad, 10 s`. (host, text) where it is
        about a host."""
        words = text.split(" ")
        if words[0] == "host" and len(words) > 2 and words[1].isdigit():
            self.news[int(words[1])] = " ".join(words[2:])
            return int(words[1]), " ".join(words[2:])
        return None

    def of(self, op, value):
        """The cause of one op of a message, or None where it is no news of its own."""
        if op[0] == "withdrawn":
            return f"{self.name_of(op[1])} {self.news.get(op[1], 'withdrawn' if value else 'let in again')}"
        if op[0] == "line":
            return self.of_line(op[2], value)
        if op[0] == "level":
            return f"level {value[0]:.2f}, second tries {value[1]}"
        return "put on its table" if op[0] == "bind" else None

    def of_line(self, host, weight):
        whole = self.listed_of(host)
        news = self.news.get(host)
        if weight and whole and weight < whole * 0.999:
            return f"{self.name_of(host)} ramps, {weight / whole:.2f} of its weight"
        return f"{self.name_of(host)} {news or ('in' if weight else 'out')}"

    def of_all(self, ops):
        """The causes of a message, the commonest kinds first and at most CAUSES_MOST."""
        found = {}
        for op, value in ops.items():
            text = self.of(op, value)
            if text:
                found[text] = found.get(text, 0) + 1
        if any(op[0] == "bind" for op in ops):  # a whole table: its lines are no news one by one
            return ("put on its table",)
        ranked = sorted(found, key=lambda text: (-found[text], text))
        more = len(ranked) - CAUSES_MOST
        return tuple(ranked[:CAUSES_MOST] + ([f"and {more} more"] if more > 0 else []))
