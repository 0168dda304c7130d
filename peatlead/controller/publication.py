"""What this steward has published, kept and told; and the pins that hold proxies to tables of the past.

Between what the planner wants (`ViewState`) and what leaves: a pinned proxy's lines go through the guard, all others
pass unchanged. Every version that is sent is committed to the store and the log with its causes.
"""

import msgspec
import zstandard
from blake3 import blake3

from ..tables.change_causes import ChangeCauses
from ..tables.guard import RAMPED, GuardContext, GuardedTable, guard
from ..tables.history import Store, UnknownVersionError
from ..tables.pins import (
    LOOK_GAP,
    ActivePin,
    Pin,
    PinError,
    Pins,
    check,
    read_pins,
    write_pins,
)
from ..tables.table_log import TableLog
from ..tables.version import (
    NONE,
    SCALE,
    Digest,
    Version,
    changes,
    line_key,
    part_of,
    read_line_key,
    read_version,
    whole_weight,
)

PINS_EVERY = 10.0  # seconds between notes of the pins' age on disk
TELL_EVERY = 2.0  # seconds between tellings of the pins to other stewards
LOOK_PART = (
    0.15  # of the channel's queue: pins move proxies only while less waits, the planner comes first
)
TELL_MOST = 20  # wishes told to other stewards in one round of the planner's timer
WISH = tuple[str, str, int, int, dict[str, int]]  # pin id, proxy, version, its lines then
WISH_MOST = 60_000  # bytes of one wish, packed: a datagram
SHOWN_MOST = 500  # versions, or proxies of a dry run, that one answer lists


class Publication:
    """`steward` gives what is wanted and who is there; `wall()` the time of day, for stamps that people read."""

    def __init__(self, steward, folder, wall, bounds, boot):
        self.steward, self.wall = steward, wall
        self.store = Store(
            bounds["versions_each"],
            bounds["versions_most"],
            int(bounds["memory_most"]),
            bounds["age_most"],
        )
        self.log = TableLog(
            folder,
            self.store,
            steward.log,
            bounds["sync_every"],
            disk_most=int(bounds["disk_most"]),
        )
        shared = steward.me["peer"] is not None
        self.pins = Pins(steward.me["name"], "-" + blake3(boot).hexdigest()[:4] if shared else "")
        self.causes = ChangeCauses(self.name_of, lambda host: steward.listed.get(host, 0.0))
        self.places, self.phases, self.shut = {}, {}, set()
        self.wishes, self.unknown = (
            {},
            set(),
        )  # (pin id, name) -> items; those whose target is not known
        self.boot, self.pins_at, self.told_at = 1, 0.0, 0.0
        self.parts, self.parts_at, self.named, self.covered = (
            {},
            -1,
            frozenset(),
            {},
        )  # parts: as of that change
        self.offered, self.to_tell = (
            {},
            {},
        )  # (pin id, name) -> (Version, items) told by others; ours still to tell
        self.looked = {}  # proxy -> (when a pin last changed what it is to hold, what it was to change)

    def name_of(self, host):
        return self.steward.registry.entries[host].name

    # Its life.

    def recall(self, now):
        """What was published before this start."""
        for file, why in self.log.recall():
            self.steward.log("tables: part of the log not taken", file=file, why=why)
        noted = self.log.noted
        self.boot = int(noted.get("boots", b"0")) + 1
        self.log.note("boots", b"%d" % self.boot)
        try:
            self.pins.hear(now, read_pins(noted.get("pins", b"\x90")))
            for key in [key for key in noted if key.startswith("wish/")]:
                _, pin, name = key.split("/", 2)
                if pin in self.pins.held:
                    self.wishes[pin, name] = msgspec.msgpack.decode(noted[key], type=dict[str, int])
                else:
                    self.log.note(key, None)
        except (ValueError, msgspec.MsgspecError) as problem:
            self.steward.log("tables: pins not taken", why=str(problem))
        self.log.start(now)
        self.note_pasts()  # a steward that was killed may be the one that knows
        for held in self.pins.standing().values():
            self.steward.log("tables pinned", pin=held.pin.id, left=round(held.until - now, 1))

    def tick(self, now):
        """Every round of the planner's timer."""
        for pin in self.pins.tick(now):
            self.steward.log("pin ran out", pin=pin)
            self.save_pins(now)
        self.drop_wishes()
        if self.pins.held and now - self.pins_at >= PINS_EVERY:
            self.save_pins(now)
        if self.pins.held and now - self.told_at >= TELL_EVERY:
            self.tell_pins(now)
        self.tell_wishes()
        if self.pins.held or self.covered:
            self.look(now)
        self.log.flush(now)

    def stop(self, now):
        if self.pins.held:
            self.save_pins(now)
        self.log.flush(now)
        try:
            self.log.close()
        except OSError as problem:
            self.steward.log("tables are not kept", why=problem.strerror)

    def zone_serial(self):
        """The zone's newest serial that is on record, 0 for none."""
        said = self.log.noted.get("zone serial", b"0")
        return int(said) if said.isdigit() else 0

    def keep_serial(self, serial):
        self.log.note("zone serial", b"%d" % serial)
        self.log.flush(self.steward.loop.time())

    # Pins: kept, told, heard.

    def save_pins(self, now):
        self.pins_at = now
        self.log.note("pins", write_pins(self.pins.told(now)))

    def tell_pins(self, now):
        self.told_at = now
        if self.steward.fleet:
            pins = self.pins.told(now)
            for at in range(0, len(pins), 6):  # datagrams: a few at a time
                self.steward.fleet.tell_pins(write_pins(pins[at : at + 6]))

    def spread_pins(self, now):
        """An operator has changed them: on disk and on their way before the answer."""
        self.save_pins(now)
        self.tell_pins(now)
        self.log.flush(now)

    def hear_pins(self, data):
        now = self.steward.loop.time()
        try:
            if self.pins.hear(now, read_pins(data)):
                self.save_pins(now)
                self.note_pasts()
                self.steward.log("pins heard", standing=sorted(self.pins.standing()))
        except ValueError as problem:
            self.steward.log("pins refused", why=str(problem))

    # A proxy that came from another owner since then has its past there: who has one tells it to all.

    def note_pasts(self):
        """After news of pins: what we know of proxies is to be told, first of those that are not joined here. Of the
        others too: one that was frozen does not know yet which of its proxies have gone to another owner."""
        here = {name for _, name, _ in self.steward.everyone()}
        for held in self.pins.standing().values() if self.steward.fleet else ():
            if held.pin.target == "back":
                for name in sorted(self.store.histories, key=here.__contains__):
                    self.to_tell.setdefault((held.pin.id, name), False)

    def tell_wishes(self):
        due = [key for key, told in self.to_tell.items() if not told][:TELL_MOST]
        for key in due:
            self.to_tell[key] = True
            held = self.pins.held.get(key[0])
            found = held and self.target(held, key[1])
            if found:
                told = key[0], key[1], *found[0], target_lines(found[1])
                data = zstandard.compress(msgspec.msgpack.encode(told))
                if len(data) < WISH_MOST:
                    self.steward.fleet.tell_wish(data)

    def hear_wish(self, data):
        """Of several stewards that knew a proxy before the pin's moment, the highest version had it last."""
        try:
            plain = zstandard.ZstdDecompressor().decompress(data, max_output_size=1 << 20)
            pin, name, epoch, serial, items = msgspec.msgpack.decode(plain, type=WISH)
            for key in items:
                read_line_key(key)
        except (zstandard.ZstdError, msgspec.MsgspecError, ValueError) as problem:
            self.steward.log("wish refused", why=str(problem))
            return
        key, version = (pin, name), Version(epoch, serial)
        if (
            pin not in self.pins.held
            or len(self.offered) > 100_000
            or version <= self.offered.get(key, (NONE,))[0]
        ):
            return
        self.offered[key] = version, items
        own = self.target(self.pins.held[pin], name)
        if key in self.wishes and (own is None or own[0] < version):
            self.keep_wish(key, items)
            self.unknown.discard(key)

    def drop_wishes(self):
        self.to_tell = {key: told for key, told in self.to_tell.items() if key[0] in self.pins.held}
        self.offered = {key: one for key, one in self.offered.items() if key[0] in self.pins.held}
        for key in [key for key in self.wishes if key[0] not in self.pins.held]:
            del self.wishes[key]
            self.log.note(f"wish/{key[0]}/{key[1]}", None)
        self.unknown = {key for key in self.unknown if key[0] in self.pins.held}

    # What is published.

    def joined(self, name, epoch, held, lines):
        """A proxy that joined with `held` {key: value}: a version of its own, so that the way back is whole."""
        history = self.store.history(name)
        version = Version(epoch, 0)
        if version > history.last:
            moved = changes(target_lines(history.items), held)
            self.commit(name, version, (f"joined, holding {lines} lines",), moved)

    def newest_epoch(self, name):
        history = self.store.histories.get(name)
        return history.last.epoch if history else 0

    def sent(self, name, version, parts, items, causes):
        """A version of some parts of a proxy's tables has been sent: `items` are those parts now."""
        history = self.store.history(name)
        if version <= history.last:
            return  # of a stream that a newer one has replaced
        old = {key: value for key, value in history.items.items() if part_of(key) in parts}
        self.commit(name, version, causes, changes(old, items))

    def view(self, name, items, causes):
        """A DNS view's tables as answers have them from now on."""
        history = self.store.history(name)
        moved = changes(history.items, items)
        if moved:
            serial = history.last.serial + 1 if history.last.epoch == self.boot else 1
            self.commit(name, Version(self.boot, serial), causes, moved)

    def commit(self, name, version, causes, moved):
        self.log.publish(name, self.store.commit(name, version, self.wall(), causes, moved))

    def left(self, name):
        self.store.left(name)
        self.log.left(name)

    # Facts for the guard.

    def know(self, host, entry):
        for address in (entry.address, entry.address6):
            if address:
                self.places[address] = host
        before = self.phases.get(host)
        if before != entry.phase:
            self.phases[host] = entry.phase
            return before, entry.phase
        return None

    def withdrew(self, host, on):
        (self.shut.add if on else self.shut.discard)(host)

    def facts(self):
        publisher = self.steward.publisher
        if self.parts_at != publisher.changed:
            listed, self.parts_at = self.steward.listed, publisher.changed
            self.parts = {
                host: max(tables.values()) / max(1e-9, listed.get(host, 1.0))
                for host, tables in publisher.holders.items()
                if tables
            }
        return GuardContext(self.phases, self.shut, self.parts)

    # Pinned proxies.

    def pin_of(self, name, zone):
        return self.pins.of(self.steward.loop.time(), name, zone) if self.pins.held else None

    def wish(self, held, name):
        """The items that a pin holds a proxy to: found once, then kept, on disk too."""
        key = held.pin.id, name
        if key not in self.wishes:
            found = max(
                filter(None, (self.target(held, name), self.offered.get(key))),
                default=None,
                key=lambda one: one[0],
            )
            items = found and found[1]
            if items is None:
                self.unknown.add(key)
                history = self.store.histories.get(name)
                items = dict(history.items) if history else {}
                self.steward.log(
                    "pin's target is not known: held as it stands", pin=held.pin.id, proxy=name
                )
            self.keep_wish(key, target_lines(items))
        return self.wishes[key]

    def keep_wish(self, key, items):
        self.wishes[key] = items
        self.log.note(f"wish/{key[0]}/{key[1]}", msgspec.msgpack.encode(items))

    def target(self, held, name):
        """(Version, {key: value}) of the past, or None where it is not known here."""
        history, pin = self.store.histories.get(name), held.pin
        if history is None or history.last == NONE:
            return None
        try:
            if pin.target == "held":
                return history.last, dict(history.items)
            if pin.target == "version":
                return read_version(pin.to), history.at_version(read_version(pin.to))
            age = self.steward.loop.time() - held.base
            return history.at_time(self.wall() - age - float(pin.to))
        except UnknownVersionError:
            return None

    def lines(self, name, zone, label, wanted):
        """{host: weight} that a proxy is to hold of a kind now, given what the planner wants."""
        held = self.pin_of(name, zone)
        return wanted if held is None else self.guarded(held, name, label, wanted).lines

    def guarded(self, held, name, label, wanted):
        items = self.wish(held, name) if type(held) is ActivePin else held
        wish = {}
        for key, value in items.items():
            kind, _, address, _ = read_line_key(key)
            if kind == label:
                wish[self.places.get(address, -1)] = value / SCALE
        if not wish:
            return GuardedTable(
                dict(wanted), {}, ()
            )  # of this kind nothing is known: the planner's
        return guard(wish, wanted, self.facts())

    def look(self, now):
        """Pinned proxies whose lines should be others by now, and those that have left a pin."""
        parts = self.facts().parts
        named = frozenset(parts), frozenset(host for host, part in parts.items() if part < RAMPED)
        urgent, self.named = named != self.named, named
        channel = self.steward.channel
        if not urgent and channel.waiting > LOOK_PART * channel.most:
            return
        for number, name, zone in self.steward.everyone():
            held = self.pin_of(name, zone)
            if held is not None or name in self.covered:
                self.look_at(now, number, name, held)
            if not urgent and channel.waiting > LOOK_PART * channel.most:
                break
        self.steward.pump()

    def look_at(self, now, number, name, held):
        moved, (at, asked) = self.due(name, number), self.looked.get(name, (-1e9, None))
        if not moved:
            self.looked.pop(name, None)
            if held is None:
                del self.covered[name]  # back on the planner's table
            else:
                self.covered[name] = held.pin.id
            return
        shut = any(value is None for value in moved.values())
        # What was asked for once is on its way: a proxy that does not take it must not be asked each tick.
        if moved != asked and (shut or now - at >= LOOK_GAP):
            self.looked[name] = now, moved
            why = (
                f"held by {held.pin.id} {held.pin.by}".rstrip()
                if held
                else f"{self.covered[name]} ended"
            )
            self.steward.channel.offer(
                now, number, {("look", key): True for key in moved}, (), (why,)
            )
        if held is not None:
            self.covered[name] = held.pin.id

    def due(self, name, number):
        """What a look would change."""
        items = self.steward.items_of(number)
        if items is None:
            return {}
        history = self.store.histories.get(name)
        return changes(target_lines(history.items) if history else {}, items)

    # Operators.

    def answer(self, question):
        """The `tables` questions: do = log, show, diff, pin, resume, status."""
        asked = {
            "log": self.tell_log,
            "show": self.tell_show,
            "diff": self.tell_diff,
            "pin": self.take_pin,
            "resume": self.take_resume,
            "status": self.tell_status,
            "ends": self.tell_ends,
        }.get(question.do)
        if asked is None:
            return {"error": "expected do to be log, show, diff, pin, resume, status or ends"}
        try:
            return asked(question.args)
        except (PinError, UnknownVersionError, ValueError, KeyError, TypeError) as problem:
            said = (
                f"{problem.args[0]} is not kept"
                if type(problem) is UnknownVersionError
                else str(problem)
            )
            return {"error": f"tables {question.do}: {said}"}

    def history_of(self, name):
        for one in (name, f"view:{name}"):
            if one in self.store.histories:
                return one, self.store.histories[one]
        raise PinError(f"expected a proxy or view that was published to, got {name!r}")

    def read(self, key, value):
        """An item for people: host by name, weight as listed."""
        if not key.startswith("line/"):
            return {"item": key, "value": value}
        kind, zone, address, _ = read_line_key(key)
        host = self.places.get(address)
        return {
            "item": f"line/{kind}",
            "host": self.name_of(host) if host is not None else address,
            "zone": zone,
            "value": None if value is None else value / SCALE,
        }

    def tell_log(self, args):
        name = args.get("proxy") or None
        if name:
            name = self.history_of(name)[0]
        since, until = float(args.get("since") or 0.0), float(args.get("until") or 1e12)
        found = self.store.between(since, until, name)
        shown = found[-min(SHOWN_MOST, int(args.get("most") or 50)) :]
        return {
            "versions": [
                {
                    "proxy": one,
                    "version": str(entry.version),
                    "at": entry.at,
                    "causes": list(entry.causes),
                    "changes": len(entry.moved),
                    "digest": entry.digest,
                }
                for one, entry in shown
            ],
            "more": len(found) - len(shown),
        }

    def tell_show(self, args):
        name, history = self.history_of(args["proxy"])
        version = read_version(args["version"]) if args.get("version") else history.last
        items = history.at_version(version)
        zone = self.steward.zone_of(name)
        held = self.pin_of(name, zone)
        return {
            "proxy": name,
            "version": str(version),
            "digest": history.digest_at(version) or str(history.digest),
            "items": [self.read(key, items[key]) for key in sorted(items)],
            "pinned by": held.pin.id if held else None,
        }

    def tell_diff(self, args):
        name, history = self.history_of(args["proxy"])
        versions = [read_version(args[side]) for side in ("one", "other")]
        if NONE in versions:
            raise PinError("expected two versions, EPOCH.SERIAL each")
        before, after = (history.at_version(version) for version in versions)
        return {"proxy": name, "changes": self.compare(before, after)}

    def compare(self, before, after):
        """Each item that differs, and for lines the part of the kind's reqs before and after."""
        parts = [parts_of(items) for items in (before, after)]
        return [
            {
                **self.read(key, after.get(key)),
                "before": self.read(key, before.get(key))["value"],
                "part before": parts[0].get(key),
                "part after": parts[1].get(key),
            }
            for key in sorted(changes(before, after))
        ]

    def take_pin(self, args):
        now = self.steward.loop.time()
        more = {
            "which": str(args.get("which", "")),
            "target": args.get("target", "held"),
            "to": str(args.get("to", "")),
            "over": float(args.get("over", 10.0)),
            "length": float(args.get("length", 3600.0)),
            "by": str(args.get("by", ""))[:200],
        }
        if more["target"] == "back":
            float(more["to"])
        if args.get("dry"):
            return self.dry(now, args["whom"], more)
        pin = self.pins.make(now, args["whom"], **more)
        self.note_pasts()
        self.spread_pins(now)
        self.steward.log(
            "tables pinned",
            pin=pin.id,
            whom=pin.whom,
            which=pin.which,
            target=pin.target,
            to=pin.to,
            by=pin.by,
        )
        return {"pin": pin.id}

    def dry(self, now, whom, more):
        """What a pin would change once it has reached all, and what the guard takes out."""
        pin = Pin(
            "dry", 0, 1, whom, more["which"], more["target"], more["to"], 0.0, 0.0, more["length"]
        )
        check(pin)
        held, found = ActivePin(pin, now), []
        for number, name, zone in self.steward.everyone():
            if not held.covers(now, name, zone):
                continue
            target = (self.target(held, name) or (NONE, None))[1]
            one = {
                "proxy": name,
                "known": target is not None,
                "changes": [],
                "taken": {},
                "filled": [],
            }
            if target is not None:
                history = self.store.histories[name]
                after = {}
                for label, wanted in self.steward.wanted_of(number):
                    done = self.guarded(target_lines(target), name, label, wanted)
                    after.update(self.as_items(label, done.lines))
                    one["taken"].update(
                        {
                            self.name_of(h) if h >= 0 else "an unknown address": why
                            for h, why in done.taken.items()
                        }
                    )
                    one["filled"] += [self.name_of(host) for host in done.filled]
                one["changes"] = self.compare(target_lines(history.items), after)
            found.append(one)
        changed = [one for one in found if one["changes"] or one["taken"] or not one["known"]]
        return {
            "proxies": len(found),
            "would change": sum(bool(one["changes"]) for one in found),
            "not known": sum(not one["known"] for one in found),
            "each": changed[:SHOWN_MOST],
        }

    def tell_ends(self, _):
        """What each joined proxy was last sent: version, digest of its lines, seconds since."""
        found, now = {}, self.wall()
        for _, name, _ in self.steward.everyone():
            history = self.store.histories.get(name)
            if history and history.entries and not name.startswith("view:"):
                found[name] = [
                    *history.last,
                    str(Digest(target_lines(history.items))),
                    now - history.entries[-1].at,
                ]
        return {"steward": self.steward.me["name"], "ends": found}

    def as_items(self, label, lines):
        return {
            line_key(
                label, entry.zone, entry.address or entry.address6, self.steward.port
            ): whole_weight(weight)
            for host, weight in lines.items()
            for entry in (self.steward.registry.entries[host],)
        }

    def take_resume(self, args):
        now = self.steward.loop.time()
        pin = self.pins.resume(
            now, args["pin"], None if args.get("over") is None else float(args["over"])
        )
        self.spread_pins(now)
        self.steward.log("pin ended by hand", pin=pin.id, by=str(args.get("by", ""))[:200])
        return {"pin": pin.id, "over": pin.over}

    def tell_holders(self):
        """Which version each proxy was last sent and has said it holds: a change that was cut off halfway shows."""
        found = []
        for number, name, zone in self.steward.everyone():
            history, session = self.store.histories.get(name), self.steward.session_of(number)
            held = self.pin_of(name, zone)
            sent = history.last if history else NONE
            found.append(
                {
                    "proxy": name,
                    "sent": str(sent),
                    "held": str(session.held if session else sent),
                    "pin": held.pin.id if held else None,
                }
            )
        return found

    def tell_status(self, args):
        now, everyone = self.steward.loop.time(), self.steward.everyone()
        pins = []
        for key, one in sorted(self.pins.held.items()):
            pin = one.pin
            here = [
                name
                for _, name, zone in everyone
                if (found := self.pin_of(name, zone)) and found.pin.id == key
            ]
            pins.append(
                {
                    "pin": key,
                    "whom": pin.whom,
                    "which": pin.which,
                    "target": pin.target,
                    "to": pin.to,
                    "by": pin.by,
                    "age": now - one.base,
                    "left": max(0.0, one.until - now),
                    "over": pin.over,
                    "ended": None if one.ended_at is None else now - one.ended_at,
                    "holds here": len(here),
                    "covered by a later pin": sum(
                        one.covers(now, name, zone) for _, name, zone in everyone
                    )
                    - len(here),
                    "target not known": sorted(
                        name for pin_id, name in self.unknown if pin_id == key
                    ),
                }
            )
        return {
            "steward": self.steward.me["name"],
            "proxies": len(everyone),
            "versions": self.store.many,
            "bytes": self.store.size,
            "dropped": self.store.dropped,
            "kept on disk": self.log.broken is None,
            "why not": self.log.broken,
            "not kept": self.log.lost,
            "disk": sum(self.log.segments.values()),
            "pins": pins,
            "holders": self.tell_holders() if args.get("proxies") else [],
        }


def target_lines(items):
    return {key: value for key, value in items.items() if key.startswith("line/")}


def parts_of(items):
    """{key of a line: its part of the kind's weight}."""
    totals, kinds = {}, {key: read_line_key(key)[0] for key in items if key.startswith("line/")}
    for key, kind in kinds.items():
        totals[kind] = totals.get(kind, 0) + items[key]
    return {key: items[key] / totals[kind] for key, kind in kinds.items()}
