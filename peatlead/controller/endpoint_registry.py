"""Between names and the small indices inside: hosts, zones, and the list's clock. Nothing is decided here."""

from .. import interface

LONG_AGO = 1e6  # seconds: the age of a host on the first list that tells no start


class EndpointRegistry:
    """Hosts by name outside, by index inside. An index is never used again: orders name hosts by it.

    `zones`, `machines`: names in the order of the settings; `unstarted_old`: a host that tells no start has run for
    long, whenever it is first listed; `age_of(started)`: seconds since that Unix time, where lists don't tell theirs.
    """

    def __init__(self, zones, log, machines=(), unstarted_old=False, age_of=None):
        self.zones = {zone: at for at, zone in enumerate(zones)}
        self.machines = {machine: at for at, machine in enumerate(machines)}
        self.log, self.index, self.entries, self.started = log, {}, {}, {}
        self.listed, self.unstarted_old, self.next, self.age_of = False, unstarted_old, 0, age_of

    def roster(self, listing, now):
        """The planner's event for a Listing, and the indices of the hosts in it."""
        members = []
        for entry in listing.hosts:
            zone = self.zones.get(entry.zone)
            if zone is None:
                self.log(
                    "list entry left out",
                    host=entry.name,
                    why=f"zone {entry.zone!r} is not in the settings",
                )
                continue
            at = self.index.get(entry.name)
            if at is None:
                at = self.index[entry.name] = self.next
                self.next += 1
            self.entries[at] = entry
            machine = self.machines.setdefault(entry.machine, len(self.machines))
            members.append(
                interface.Endpoint(
                    at,
                    entry.name.encode(),
                    zone,
                    machine,
                    entry.pod,
                    entry.phase,
                    entry.weight,
                    self.start_of(entry, listing.written, now),
                )
            )
        self.listed = self.listed or listing.scope != "unavailable"
        return interface.EndpointUpdate(listing.scope, listing.version, tuple(members))

    def start_of(self, entry, written, now):
        """On our clock: the list's two times are by one clock, whichever it is, so their difference holds.
        A process keeps the start that it was first seen with, or each new list would start it anew."""
        key = entry.name, entry.started
        if key not in self.started:
            known = written > 0 and entry.started > 0
            unknown = LONG_AGO if self.unstarted_old or not self.listed else 0.0
            age = unknown
            if known:
                age = (
                    self.age_of(entry.started) if self.age_of else max(0.0, written - entry.started)
                )
            self.started = {k: v for k, v in self.started.items() if k[0] != entry.name}
            self.started[key] = now - age
        return self.started[key]

    def forget(self, at):
        """A host that nobody holds any more. Listed again, it is a new one."""
        entry = self.entries.pop(at)
        del self.index[entry.name]
        self.started.pop((entry.name, entry.started), None)
