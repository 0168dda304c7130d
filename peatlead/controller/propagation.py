"""What befell hosts lately, and how each loss went out: from its cause to the last holder that was without. Pure.

A loss begins when orders take a host away from somebody (`losing`). Each holder's way is followed: its message has
left the channel (`left`), a version that has it in was sent (`sent`), that version is in force there (`applied`); a
DNS view is without it as soon as its message has left. All is bounded: the oldest is forgotten.
"""

from collections import OrderedDict, deque

NOTES_EACH, HOSTS_MOST = 20, 20_000  # notes of one host; hosts that have any
LOSSES_MOST, PAST_EACH = (
    500,
    3,
)  # losses that are under way at a time; ended ones that are kept of a host


class Withdrawal:
    """One host's; `waiting`: holder -> None, LEFT, or the version that was sent."""

    __slots__ = ("at", "waiting", "told", "gone", "last", "delays")

    def __init__(self, at):
        self.at, self.waiting, self.told, self.gone, self.last, self.delays = at, {}, 0, 0, at, []

    def summary(self, now):
        found = sorted(self.delays)
        return {
            "seconds ago": round(now - self.at, 3),
            "holders": self.told + self.gone + len(self.waiting),
            "without it": self.told,
            "left before": self.gone,
            "still to go": len(self.waiting),
            "median s": round(found[len(found) // 2], 4) if found else None,
            "last s": round(found[-1], 4) if found else None,
        }


LEFT = object()  # its message has left the channel; what is sent next has it in


class PropagationTrace:
    def __init__(self):
        self.notes, self.open, self.past, self.holding = OrderedDict(), OrderedDict(), {}, {}
        self.forgotten = 0

    def note(self, now, host, text):
        kept = self.notes.get(host)
        if kept is None:
            if len(self.notes) >= HOSTS_MOST:
                self.notes.popitem(last=False)
            kept = self.notes[host] = deque(maxlen=NOTES_EACH)
        kept.append((now, text))

    def losing(self, now, host, holder):
        loss = self.open.get(host)
        if loss is None:
            if len(self.open) >= LOSSES_MOST:
                self.forget(next(iter(self.open)))
            loss = self.open[host] = Withdrawal(now)
        if holder not in loss.waiting:
            loss.waiting[holder] = None
            self.holding.setdefault(holder, {})[host] = True

    def forget(self, host):
        self.forgotten += 1
        for holder in self.open.pop(host).waiting:
            self.drop(holder, host)

    def drop(self, holder, host):
        hosts = self.holding[holder]
        del hosts[host]
        if not hosts:
            del self.holding[holder]

    def left(self, holder):
        for host in self.holding.get(holder, ()):
            if self.open[host].waiting[holder] is None:
                self.open[host].waiting[holder] = LEFT

    def sent(self, holder, version):
        for host in self.holding.get(holder, ()):
            if self.open[host].waiting[holder] is LEFT:
                self.open[host].waiting[holder] = version

    def applied(self, now, holder, version=None):
        """`version` None: all that has left the channel is in force, as it is with a DNS view."""
        for host in list(self.holding.get(holder, ())):
            stands = self.open[host].waiting[holder]
            if stands is None or version is not None and (stands is LEFT or stands > version):
                continue
            self.end(now, host, holder, True)

    def ended(self, now, holder):
        """It has gone: nothing of it can be without the host any more."""
        for host in list(self.holding.get(holder, ())):
            self.end(now, host, holder, False)

    def end(self, now, host, holder, told):
        loss = self.open[host]
        del loss.waiting[holder]
        self.drop(holder, host)
        if told:
            loss.told, loss.last = loss.told + 1, now
            loss.delays.append(now - loss.at)
        else:
            loss.gone += 1
        if not loss.waiting:
            del self.open[host]
            if len(self.past) >= HOSTS_MOST and host not in self.past:
                self.past.pop(next(iter(self.past)))
            self.past.setdefault(host, deque(maxlen=PAST_EACH)).append(loss)

    def tell(self, now, host):
        losses = [*self.past.get(host, ()), *([self.open[host]] if host in self.open else [])]
        return {
            "notes": [[round(now - at, 3), text] for at, text in self.notes.get(host, ())],
            "losses": [loss.summary(now) for loss in losses],
        }
