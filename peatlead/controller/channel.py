"""The way from orders to what views hold: paced, counted in lines and messages, bounded. Pure.

Orders of one batch make one message for each view concerned. Messages leave one after the other, each
taking (head + lines) / rate seconds. A message for a view that has one waiting is merged into it: the
newest word for a line is the only one that counts, so the queue can never hold more than every line of
every view once, and a view never gets old news after new.

Messages that take a host away from somebody go before others, since its reqs are lost reqs; but after every
`URGENT_RUN` of them one of the others goes, since a proxy without a table must not wait for a whole zone's.
"""

from collections import OrderedDict

from .. import interface

CAUSES_MOST = 8  # of a message that was merged again and again
URGENT_RUN = 3  # messages that take hosts away, between two that do not


class Message:
    __slots__ = ("ops", "offered", "marks", "causes")

    def __init__(self, now):
        self.ops, self.offered, self.marks, self.causes = {}, now, [], {}


def put(ops, op, value):
    """The newest word for a line replaces the older one and stands behind all that was said before it."""
    ops.pop(op, None)
    ops[op] = value


def taken_away(ops):
    """The hosts that a message takes from its view or proxy: their reqs are lost reqs until it arrives."""
    return {
        op[1] if op[0] == "withdrawn" else op[2]: True
        for op, value in ops.items()
        if op[0] == "withdrawn" and value or op[0] == "line" and not value
    }


class Channel:
    """`offer(now, view, ops)`, then `due(now)` whenever `next_at` has come."""

    def __init__(self, rate, head, most):
        self.rate, self.head, self.most = rate, head, most
        self.urgent, self.calm = (
            OrderedDict(),
            OrderedDict(),
        )  # views of `queue` that lose a host, and the others
        self.run = 0  # urgent ones that went in a row
        self.queue, self.free_at, self.waiting, self.deepest, self.past = (
            OrderedDict(),
            0.0,
            0.0,
            0.0,
            0,
        )

    def offer(self, now, view, ops, marks=(), causes=()):
        message = self.queue.get(view)
        if message is None:
            message = self.queue[view] = Message(now)
            self.waiting += self.head
        before = len(message.ops)
        for op, value in ops.items():
            put(message.ops, op, value)
        lane, other = (
            (self.urgent, self.calm) if taken_away(message.ops) else (self.calm, self.urgent)
        )
        other.pop(view, None)
        lane.setdefault(view, True)
        message.marks = list(marks) or message.marks  # the newest tells of all before it
        if len(message.causes) < CAUSES_MOST:
            message.causes.update(dict.fromkeys(causes))
        self.waiting += len(message.ops) - before
        self.deepest = max(self.deepest, self.waiting)
        self.past += self.waiting > self.most  # told in the status; the planner keeps this at none

    def forget(self, view):
        """It has left: what waits for it is lost."""
        message = self.queue.pop(view, None)
        self.urgent.pop(view, None)
        self.calm.pop(view, None)
        if message is not None:
            self.waiting -= self.head + len(message.ops)

    @property
    def next_at(self):
        return self.free_at if self.queue else None

    def next_view(self):
        urgent = self.urgent and (self.run < URGENT_RUN or not self.calm)
        self.run = self.run + 1 if urgent else 0
        return (self.urgent if urgent else self.calm).popitem(last=False)[0]

    def due(self, now, most=1 << 30):
        """[(view, Message)] that may leave by now, `most` at a time: thousands would hold up all else."""
        found = []
        while self.queue and self.free_at <= now and len(found) < most:
            view = self.next_view()
            message = self.queue.pop(view)
            size = self.head + len(message.ops)
            self.waiting -= size
            # An idle channel owes nothing for the past, and saves nothing up for a burst.
            self.free_at = max(self.free_at, message.offered) + size / self.rate
            found.append((view, message))
        if not self.queue:
            self.waiting = 0.0
        return found


class Publisher:
    """What each order means for each view that it concerns. Tables are kept here as ordered; `views` are
    the joined ones."""

    def __init__(self):
        self.tables, self.users, self.bound, self.joined = {}, {}, {}, set()
        self.holders, self.changed = {}, 0  # host -> {table: weight}; counts all changes of tables
        self.told, self.unbound = (
            {},
            set(),
        )  # host -> views that were told it is shut out; views on no table of ours
        self.levelled, self.levels = (
            set(),
            {},
        )  # those that follow levels themselves; kind: (level, retry)
        self.shut = {}  # view -> hosts that it was told are shut out since it joined: those are not told again

    def join(self, view, levelled=False):
        """`levelled`: a proxy that enforces levels and second tries; what a DNS view can't, hosts do."""
        self.joined.add(view)
        self.unbound.add(view)
        self.shut[view] = set()
        if levelled:
            self.levelled.add(view)

    def leave(self, view):
        self.joined.discard(view)
        self.levelled.discard(view)
        self.unbound.discard(view)
        self.shut.pop(view, None)
        for table in self.bound.pop(view, {}).values():
            self.users[table].discard(view)

    def forget(self, host):
        """It is gone and no table names it."""
        self.holders.pop(host, None)
        for view in self.told.pop(host, ()):
            self.shut.get(view, set()).discard(host)

    def take(self, orders):
        """({view: {op: value}}, {view: [mark]}, the orders that are not for views)."""
        out, marks, rest = {}, {}, []
        for order in orders:
            kind = type(order)
            if kind is interface.SetEntry:
                self.set_line(out, order.table, order.endpoint, order.weight)
            elif kind is interface.ClearTable:
                for host in list(self.tables.get(order.table, ())):
                    self.set_line(out, order.table, host, 0.0)
            elif kind is interface.AssignTable:
                self.bind(out, order)
            elif kind is interface.WithdrawEndpoint:
                for view in self.concerned(order):
                    out.setdefault(view, {})["withdrawn", order.endpoint] = order.withdrawn
            elif kind is interface.RequestAcknowledgement:
                for view in sorted(self.joined if order.all_proxies else out):
                    out.setdefault(view, {})
                    marks.setdefault(view, []).append(order.nonce)
            else:
                if kind is interface.SetAdmission:
                    self.admit(out, order)
                rest.append(order)
        return out, marks, rest

    def concerned(self, order):
        """A withdrawal goes to all DNS views, and to those proxies whose tables are not ours yet that it names. One
        on our tables loses the line instead: a second line that says the same would only fill the channel. To all of
        a thousand proxies a lost zone would be 100,000 lines, for tables that never named it. That it is let in again
        goes to those that were told it was not: to all, a release of 300 hosts made 200,000 lines wait."""
        if not order.withdrawn:
            back = self.told.pop(order.endpoint, set()) & self.joined
            for view in back:
                self.shut[view].discard(order.endpoint)
            return back
        waiting = self.unbound if order.notify is None else self.unbound.intersection(order.notify)
        told = waiting | (self.joined - self.levelled)
        self.told.setdefault(order.endpoint, set()).update(told)
        news = {view for view in told & self.joined if order.endpoint not in self.shut[view]}
        for view in news:
            self.shut[view].add(order.endpoint)
        return news

    def admit(self, out, order):
        for at in order.request_classes:
            self.levels[at] = order.fraction, order.retry_policy
            for view in self.levelled:
                put(out.setdefault(view, {}), ("level", at), self.levels[at])

    def set_line(self, out, table, host, weight):
        lines, holders = self.tables.setdefault(table, {}), self.holders.setdefault(host, {})
        lines.pop(host, None)
        holders.pop(table, None)
        self.changed += 1
        if weight:
            lines[host] = holders[table] = weight
        for view in self.users.get(table, ()):
            put(out.setdefault(view, {}), ("line", table, host), weight)

    def bind(self, out, order):
        ops = out.setdefault(order.proxy, {})
        self.unbound.discard(order.proxy)
        bound = self.bound.setdefault(order.proxy, {})
        for kind in order.request_classes:
            old, bound[kind] = bound.get(kind), order.table
            put(ops, ("bind", kind), order.table)
            if old is not None and old not in bound.values():
                self.users[old].discard(order.proxy)
                put(
                    ops, ("left", old), True
                )  # or its lines would stand when the view comes back to it
        self.users.setdefault(order.table, set()).add(order.proxy)
        for host, weight in self.tables.get(order.table, {}).items():
            put(ops, ("line", order.table, host), weight)


class ViewState:
    """What one view holds: messages applied, in order. `lines(kind)` is its table less what is withdrawn."""

    __slots__ = ("tables", "bound", "withdrawn", "levels")

    def __init__(self):
        self.tables, self.bound, self.withdrawn, self.levels = {}, {}, set(), {}

    def apply(self, ops):
        for op, value in ops.items():
            if op[0] == "line":
                lines = self.tables.setdefault(op[1], {})
                lines.pop(op[2], None)
                if value:
                    lines[op[2]] = value
            elif op[0] == "bind":
                self.bound[op[1]] = value
            elif op[0] == "left":
                self.tables.pop(op[1], None)
            elif op[0] == "level":
                self.levels[op[1]] = value
            elif op[0] == "look":
                pass  # nothing new is wanted: what a pin makes of it has changed
            elif value:
                self.withdrawn.add(op[1])
            else:
                self.withdrawn.discard(op[1])

    def lines(self, kind):
        table = self.tables.get(self.bound.get(kind), {})
        return {host: weight for host, weight in table.items() if host not in self.withdrawn}
