"""The five rules, and service, read from the record of the sockets. Pure: rows in, findings out.

Each rule gives its nearest approach as a part of its limit: 1 or more is a breach. Nothing of a steward's
insides is read, but for what its feed sent over a socket (messages, lines that wait).
"""

from collections import Counter, defaultdict, deque
from typing import NamedTuple

KEEP_THE_RFC = (
    "keeps",
    "agent",
)  # RFC 8767 lets a resolver serve on what has run out; that is counted apart
READ_WITHIN = 0.25  # seconds
SAME_START = 0.2  # seconds between a start as the host and as the list has it
IN_FLIGHT = 1.5  # seconds
DOUBT = 5.0  # seconds that a host which the list calls gone may be kept while it seems to answer
FAILING = ("silent", "hung")
WHOLE_MANY = 5  # breaches that are named one by one


class Finding(NamedTuple):
    """`nearest`: part of the limit; `breaches`: how many; `said`: the nearest or the breaches, in words."""

    rule: str
    nearest: float
    breaches: int
    said: str


class Report(NamedTuple):
    findings: list
    service: dict  # request kind -> {"reqs", "part", outcomes}
    late_sends: dict  # resolver kind -> {"after grace", "worst": seconds past the grace}
    answers: dict  # resolver kind -> answers
    named: list  # (trouble, address, seconds until the last answer that named it, ... the last send to it)
    takeovers: list  # (what befell the controller, seconds until its agent had joined one)
    rows: int
    torn: int

    @property
    def kept(self):
        return all(not finding.breaches for finding in self.findings)


def check(read, limits, kinds):
    """`read`: record.Read; `limits`: the settings' limits; `kinds`: {request kind: gain}."""
    rows = defaultdict(list)
    for row in read.rows:
        rows[row.kind].append(row)
    awake = Awake(rows)
    drain, late_sends = drains(rows, limits, awake)
    findings = [
        bare(rows, limits),
        twice(rows),
        drain,
        cold(rows, limits, awake),
        channel(rows, limits),
    ]
    if rows["order"]:
        findings.append(orders(rows))
    if rows["held"]:
        findings.append(tables(rows, limits, awake))
    answers = Counter(row.resolver for row in rows["answer"])
    return Report(
        findings,
        service(rows["req"], kinds),
        late_sends,
        dict(answers),
        still_named(rows),
        takeovers(rows),
        len(read.rows),
        read.torn,
    )


def finding(rule, nearest, said, breaches=None):
    return Finding(rule, nearest, int(nearest >= 1) if breaches is None else breaches, said)


def bare(rows, limits):
    """1. How long a view had no line at a steward: by what the steward's messages left it with, and by runs of
    answers that named none. A killed steward's duty ends; a frozen one gives no answers."""
    worst, where, held, empty, supplied = 0.0, None, {}, {}, set()
    last = max((row.at for row in rows["message"] + rows["answer"]), default=0.0)
    agents = {row.agent for row in rows["stream"]}  # they say themselves what they hold

    def note(span, key):
        nonlocal worst, where
        if span > worst:
            worst, where = span, key

    kinds = ("answer", "message", "steward", "stream", "order")
    for row in sorted((row for kind in kinds for row in rows[kind]), key=lambda row: row.at):
        if row.kind == "steward":
            if row.what == "killed":
                held = {key: at for key, at in held.items() if key[0] != row.steward}
                empty = {}
        elif row.kind == "stream":
            if row.what == "joined" and row.agent not in supplied:
                held.setdefault(("agents", row.agent), row.at)
        elif row.kind == "order":
            if row.done == "applied" and row.least:
                supplied.add(row.agent)
                note(row.at - held.pop(("agents", row.agent), row.at), ("agents", row.agent))
            elif row.done == "applied":
                supplied.discard(row.agent)
                held.setdefault(("agents", row.agent), row.at)
        elif row.kind == "message":
            key = row.steward, row.view
            if row.view in agents:
                continue
            if min(row.held, default=0) > 0:
                note(row.at - held.pop(key, row.at), key)
            else:
                held.setdefault(key, row.at)
        elif row.rcode != "none":
            key = row.steward, row.view
            if row.addresses:
                empty.pop(key, None)
            else:
                note(row.at - empty.setdefault(key, row.at), key)
    for key, at in held.items():
        note(last - at, key)
    said = f"longest {worst:.2f} s of {limits['bare_most']} s" + (
        f" ({where[1]} at {where[0]})" if where else ""
    )
    return finding("1 a line to pick", worst / limits["bare_most"], said)


def twice(rows):
    """2. Reqs that may not run twice and did; replayable ones may."""
    seen = Counter((row.req, row.repeat) for row in rows["effect"] if row.repeat != "replayable")
    doubled = [(req, repeat, many) for (req, repeat), many in seen.items() if many > 1]
    said = (
        f"{len(seen)} effects, none twice"
        if not doubled
        else ", ".join(
            f"{req} ({repeat}) {many} times" for req, repeat, many in doubled[:WHOLE_MANY]
        )
    )
    return finding("2 no effect twice", float(len(doubled)), said, len(doubled))


def drains(rows, limits, awake):
    """3. Sends to a host after the list told that it drains or is gone, by kind of resolver."""
    grace, told, worst, breaches, named = limits["drain_grace"], {}, 0.0, 0, []
    joined = Joined()
    late = defaultdict(lambda: {"sends": 0, "after grace": 0, "worst": 0.0})
    binding, newest = {id(row) for row in readable(rows["list"])}, 0
    every = rows["list"] + rows["try"] + rows["stream"] + rows["steward"]
    for row in sorted(every, key=lambda row: row.at):
        if row.kind in ("stream", "steward"):
            joined.note(row)
        elif row.kind == "list":
            if row.version < newest:
                continue  # an old one is not taken
            newest = row.version
            for address, phase, _ in row.hosts.values():
                if phase == "ready":  # even a list that is wrong: whoever reads it is told so
                    told.pop(address, None)
                elif id(row) in binding:
                    told.setdefault(address, row.at)
        elif row.outcome == "sent":
            late[row.resolver]["sends"] += 1
            since = told.get(row.address, row.at)
            past = row.at - since
            kind = late[row.resolver]
            kind["worst"] = max(kind["worst"], past - grace if past else 0.0)
            kind["after grace"] += past > grace
            if row.resolver == "agent":
                past = min(
                    past, row.at - joined.since(row.view, row.at)
                )  # it binds proxies while they are joined
            elif past > grace and not awake.any_knew(since, row.at):
                continue  # the lab's seeds 41001, 50050: frozen through the drain, then shown a list that was wrong
            if row.resolver in KEEP_THE_RFC:
                worst = max(worst, past / grace)
                if past > grace:
                    breaches += 1
                    named.append(f"{row.address} {past:.2f} s ({row.view}, {row.habit})")
    said = f"last send {worst * grace:.2f} s of {grace} s" + (
        ": " + ", ".join(named[:WHOLE_MANY]) if named else ""
    )
    return finding("3 drains kept", worst, said, breaches), dict(late)


def readable(lists):
    """The lists that told the truth for long enough to be read. One that was torn or replaced before a steward
    looked again (node_list.every, 0.2 s) was told to nobody."""
    return [
        row
        for row, after in zip(lists, [*lists[1:], None])
        if row.told and (after is None or after.at - row.at >= READ_WITHIN)
    ]


class Joined:
    """Since when each agent has been joined to a controller that is neither killed nor frozen."""

    def __init__(self):
        self.to, self.at, self.away = {}, {}, {}

    def note(self, row):
        if row.kind == "stream":
            if row.what == "joined":
                self.to[row.agent], self.at[row.agent] = row.steward, row.at
            elif self.to.get(row.agent) == row.steward:
                self.to.pop(row.agent)
        elif row.what in ("killed", "frozen"):
            self.away[row.steward] = True
        elif row.what in ("started", "woken"):
            self.away.pop(row.steward, None)
            for agent, steward in self.to.items():
                if steward == row.steward:
                    self.at[agent] = row.at

    def since(self, agent, now):
        """`now` where it is not joined to one that runs."""
        steward = self.to.get(agent)
        return now if steward is None or steward in self.away else self.at[agent]


def orders(rows):
    """Among several controllers: no order acts twice, none of an older epoch than an agent has seen acts, and
    an agent's epoch is one controller's alone."""
    newest, twice_done, old_done, old, refused, owners, shared = {}, 0, 0, 0, 0, {}, 0
    for row in sorted(rows["order"], key=lambda row: row.at):
        version = row.epoch, row.serial
        shared += owners.setdefault((row.agent, row.epoch), row.steward) != row.steward
        if row.done == "applied":
            twice_done += version == newest.get(row.agent)
            old_done += version < newest.get(row.agent, (0, 0))
            newest[row.agent] = max(version, newest.get(row.agent, (0, 0)))
        old += row.done == "old"
        refused += row.done == "refused"
    said = (
        f"{len(rows['order'])} orders: {twice_done} applied twice, {old_done} old ones applied of "
        f"{old + old_done} that arrived, {refused} refused, {shared} of an epoch that two owners gave"
    )
    wrong = twice_done + old_done + shared
    return finding("6 no order twice, none old", float(wrong), said, wrong)


class Awake:
    """Whether a steward can have known: one that was frozen all the while, and woke to a list that was old by then,
    has nothing to know it by."""

    def __init__(self, rows):
        lists = rows["list"]
        last = max(
            (row.at for kind in ("list", "held", "try", "steward") for row in rows[kind]),
            default=0.0,
        )
        ends = [row.at for row in lists[1:]] + [last]
        self.true = [(row.at, end) for row, end in zip(lists, ends) if row.told]
        self.answering = sorted({row.steward for row in rows["answer"] if row.rcode != "none"})
        self.away = defaultdict(list)
        for row in rows["steward"]:
            if row.what in ("killed", "frozen"):
                self.away[row.steward].append([row.at, last])
            elif row.what in ("started", "woken") and self.away[row.steward]:
                self.away[row.steward][-1][1] = row.at

    def any_knew(self, since, now):
        """Whether one that answers, and runs now, can have known; True where none ever answered."""
        return not self.answering or any(
            self.knew(one, since, now)
            for one in self.answering
            if not any(gone <= now < back for gone, back in self.away[one])
        )

    def knew(self, steward, since, now):
        for start, end in self.true:
            start, end = max(start, since), min(end, now)
            for gone, back in self.away[steward]:
                if gone <= start < back:
                    start = back
                elif start < gone < end:
                    end = gone
            if end - start >= READ_WITHIN:
                return True
        return False


def tables(rows, limits, awake):
    """Agents that check deltas: each ends on what was last published to it, to the digest; none applies what its
    memory does not bear out; none is made to hold a host past the grace after the list told that it drains or
    went."""
    drained, gone, newest, binding = {}, {}, 0, {id(row) for row in readable(rows["list"])}
    grace = limits["drain_grace"]

    def late(steward, address, now):
        """Seconds past the grace, by what the steward can have known. That one is gone may be advice alone: it is
        in doubt for DOUBT seconds where no list said that it drains."""
        since, went = drained.get(address), gone.get(address, now)
        if since is not None and now - since > grace and awake.knew(steward, since, went):
            return now - since - grace
        if (
            address in gone
            and now - went > grace + DOUBT
            and awake.knew(steward, went, now - DOUBT)
        ):
            return now - went - grace
        return 0.0

    last, seen, wrong, revived = {}, {}, [], 0
    joined = {}
    for row in sorted(rows["list"] + rows["held"] + rows["stream"], key=lambda row: row.at):
        if row.kind == "stream":
            joined[row.agent] = row.steward if row.what == "joined" else None
        elif row.kind == "held":
            last[row.agent] = row
            seen[row.agent, row.epoch, row.serial] = row.digest
            if not row.sound:
                wrong.append(f"{row.agent}'s memory does not fit {row.epoch}.{row.serial}")
            # On a stream that it gave up, what was held up by a cut link comes all at once, the removal last.
            there = joined.get(row.agent, row.steward) == row.steward
            back = {one: late(row.steward, one, row.at) for one in row.addresses} if there else {}
            revived += sum(past > 0 for past in back.values())
            wrong += [
                f"{row.agent} was given {one} {past:.2f} s past the grace"
                for one, past in back.items()
                if past
            ]
        elif row.version >= newest:
            newest = (
                row.version if id(row) in binding else newest
            )  # a torn one was read by nobody: seed 81155
            for address, phase, _ in row.hosts.values():
                if phase == "ready":
                    drained.pop(address, None)
                    gone.pop(address, None)
                elif id(row) in binding:
                    (drained if phase == "draining" else gone).setdefault(address, row.at)
    ends, to = 0, {}
    for row in sorted(rows["stream"] + rows["published"], key=lambda row: row.at):
        if row.kind == "stream":
            to[row.agent] = row.steward if row.what == "joined" else None
            continue
        mine = last.get(row.agent)
        if mine is None or to.get(row.agent) != row.steward:
            continue  # it plainly is another's by now
        ends += mine.digest == row.digest
        newer = (mine.epoch, mine.serial) > (row.epoch, row.serial)
        if mine.digest != row.digest and not newer and row.age >= IN_FLIGHT:
            wrong.append(
                f"{row.agent} holds {mine.epoch}.{mine.serial}, not what {row.steward} published as "
                f"{row.epoch}.{row.serial} {row.age:.1f} s before"
            )
    said = (
        f"{len(rows['held'])} deltas applied, {ends} agents end on what was last published, "
        f"{revived} hosts revived, {len(rows['pin'])} pins"
    )
    return finding(
        "7 tables as published",
        float(len(wrong)),
        said + "".join(f"; {one}" for one in wrong[:WHOLE_MANY]),
        len(wrong),
    )


def takeovers(rows):
    """[(what, seconds until the agent had joined another controller)] for each agent of a struck controller."""
    to, waiting, found = {}, {}, []
    for row in sorted(rows["stream"] + rows["steward"], key=lambda row: row.at):
        if row.kind == "steward":
            if row.what in ("killed", "frozen", "draining"):
                for agent, steward in to.items():
                    if steward == row.steward:
                        waiting.setdefault(agent, (row.what, row.at, row.steward))
            elif row.what in ("started", "woken"):
                # Frozen for so short a time that its agents never left: no takeover took place.
                for agent in [
                    a
                    for a, w in waiting.items()
                    if w[2] == row.steward and to.get(a) == row.steward
                ]:
                    what, at, _ = waiting.pop(agent)
                    found.append((what + ", stayed", row.at - at))
        elif row.what == "joined":
            to[row.agent] = row.steward
            if row.agent in waiting:
                what, at, _ = waiting.pop(row.agent)
                found.append((what, row.at - at))
        elif to.get(row.agent) == row.steward and row.agent not in waiting:
            waiting[row.agent] = "lost", row.at, row.steward
    last = max((row.at for row in rows["stream"]), default=0.0)
    return found + [
        (what + ", never", last - at) for what, at, _ in waiting.values() if last - at > 5.0
    ]


def cold(rows, limits, awake):
    """4. Work offered to cold hosts, as a part of what tips them; and hosts that did tip. It binds from the
    grace after the list told of the start: a host that dies and is back at once, still in every table, may be
    pushed over before anybody can know that it is cold; such are counted apart."""
    told, nearest, where, tipped, early = defaultdict(list), 0.0, None, set(), set()
    for row in readable(rows["list"]):
        for name, (_, phase, started) in row.hosts.items():
            if phase == "ready" and (not told[name] or told[name][-1][0] != started):
                # One that is new on the list stands in no table but by orders that knew of it.
                told[name].append(
                    (started, row.at, row.at + (limits["drain_grace"] if told[name] else 0.0))
                )
    for row in rows["cold"] + rows["tipped"]:
        since = [
            (at, binds)
            for started, at, binds in told[row.host]
            if started >= row.since - SAME_START
        ]
        # The lab's dns seed 40374: the only steward there was frozen through the start, and woke to a shrunk list.
        known = bool(since) and row.at > since[0][1] and awake.any_knew(since[0][0], row.at)
        if row.kind == "tipped":
            (tipped if known else early).add(row.host)
        elif known and row.part > nearest:
            nearest, where = row.part, row.host
    said = (
        f"tipped: {', '.join(sorted(tipped)[:WHOLE_MANY])}"
        if tipped
        else (f"nearest {where}" if where else "no host was known to be cold")
    )
    said += f"; {len(early)} tipped before their start could be known" if early else ""
    return finding(
        "4 no cold host pushed over",
        nearest if not tipped else max(1.0, nearest),
        said,
        len(tipped),
    )


def channel(rows, limits):
    """5. Lines that wait, messages to one view within the span, and the channel's own pace."""
    messages, spans, most_messages, deepest, pace = rows["message"], defaultdict(deque), 0, 0.0, 0.0
    second = defaultdict(deque)
    for row in messages:
        deepest = max(deepest, row.waiting / row.most)
        held = spans[row.steward, row.view]
        held.append(row.at)
        while row.at - held[0] > limits["messages_span"]:
            held.popleft()
        most_messages = max(most_messages, len(held))
        lines = second[row.steward]
        lines.append((row.at, row.lines + limits["message_head"]))
        while row.at - lines[0][0] > 1.0:
            lines.popleft()
        pace = max(pace, sum(many for _, many in lines) / limits["channel_rate"])
    part = most_messages / limits["messages_most"] if limits["messages_most"] else 0.0
    said = (
        f"deepest {deepest:.2f} of the limit, {most_messages} messages to one view in "
        f"{limits['messages_span']:.0f} s, pace {pace:.2f} of what was told, {len(messages)} messages"
    )
    return finding("5 the queue stays short", max(deepest, part), said)


def still_named(rows):
    """For each host that fell silent or hung: how long answers went on naming it, and desks sending there."""
    found = []
    for trouble in rows["trouble"]:
        for address in trouble.whom if trouble.name in FAILING else ():
            ends = []
            for kind in ("answer", "try"):
                last = max(
                    (
                        row.at
                        for row in rows[kind]
                        if trouble.at < row.at < trouble.until
                        and (
                            address in row.addresses if kind == "answer" else row.address == address
                        )
                        and row.resolver in KEEP_THE_RFC
                    ),
                    default=trouble.at,
                )
                ends.append(last - trouble.at)
            found.append((trouble.name, address, *ends))
    return found


def service(reqs, kinds):
    """By request kind: the gain earned over the gain asked for, and what became of the reqs."""
    found = {}
    for kind, gain in kinds.items():
        mine = [row for row in reqs if row.req and row.kind == "req" and row.fields["kind"] == kind]
        outcomes = Counter(row.outcome for row in mine)
        earned = sum(row.gain for row in mine)
        found[kind] = {
            "reqs": len(mine),
            "part": earned / max(1e-9, gain * len(mine)),
            "outcomes": dict(outcomes),
        }
    whole = sum(gain * found[kind]["reqs"] for kind, gain in kinds.items())
    found["whole"] = {
        "reqs": len(reqs),
        "part": sum(row.gain for row in reqs) / max(1e-9, whole),
        "outcomes": dict(Counter(row.outcome for row in reqs)),
    }
    return found
