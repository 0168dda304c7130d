"""Answers operators' questions about published tables: log, show, diff, ends and status.

The control socket receives them as `{"ask": "tables", "do": ..., "args": {...}}`. The commands pin
and resume have the same form and are passed to `pin_commands`.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..tables.history import History, UnknownVersionError
from ..tables.pins import ActivePin, PinError
from ..tables.version import NO_VERSION, Digest, Version, parse_version
from .control_socket import Answer, Question
from .pin_commands import Arguments, PinCommands
from .published_items import ItemFormatter, line_items
from .recipients import VIEW_PREFIX

if TYPE_CHECKING:
    from .controller import Controller
    from .publication import Publication

MAX_VERSIONS_SHOWN = 500  # in one answer to `log`
DEFAULT_VERSIONS_SHOWN = 50  # in an answer to `log` if the question gives no number
END_OF_TIME = 1e12  # Unix time in seconds, later than all versions


class TableQueries:
    """Answers the `tables` questions of the control socket."""

    def __init__(
        self,
        controller: "Controller",
        publication: "Publication",
        commands: PinCommands,
        formatter: ItemFormatter,
        wall_clock: Callable[[], float],
    ) -> None:
        self._controller = controller
        self._publication = publication
        self._formatter = formatter
        self._wall_clock = wall_clock
        self._handlers: dict[str, Callable[[Arguments], Answer]] = {
            "log": self.log,
            "show": self.show,
            "diff": self.diff,
            "pin": commands.pin,
            "resume": commands.resume,
            "status": self.status,
            "ends": self.last_versions,
        }

    def answer(self, question: Question) -> Answer:
        """Return the answer to a question; a failure is reported under the key `error`."""
        handler = self._handlers.get(question.do)
        if handler is None:
            return {"error": "expected do to be log, show, diff, pin, resume, status or ends"}
        try:
            return handler(question.args)
        except UnknownVersionError as error:
            return {"error": f"tables {question.do}: version {error.args[0]} is not stored"}
        except (PinError, ValueError, KeyError, TypeError) as error:
            return {"error": f"tables {question.do}: {error}"}

    def log(self, arguments: Arguments) -> Answer:
        """Return the newest versions published in a time range, of one proxy or of all proxies."""
        name = arguments.get("proxy") or None
        if name:
            name, _ = self._find_history(name)
        since = float(arguments.get("since") or 0.0)
        until = float(arguments.get("until") or END_OF_TIME)
        published = self._publication.store.entries_between(since, until, name)
        limit = min(MAX_VERSIONS_SHOWN, int(arguments.get("most") or DEFAULT_VERSIONS_SHOWN))
        shown = published[-limit:]
        return {
            "versions": [
                {
                    "proxy": proxy,
                    "version": str(entry.version),
                    "at": entry.published_at,
                    "causes": list(entry.causes),
                    "changes": len(entry.item_changes),
                    "digest": entry.digest,
                }
                for proxy, entry in shown
            ],
            "more": len(published) - len(shown),
        }

    def show(self, arguments: Arguments) -> Answer:
        """Return a proxy's items at a version, by default at the newest version."""
        name, history = self._find_history(arguments["proxy"])
        requested_version = arguments.get("version")
        version = parse_version(requested_version) if requested_version else history.newest_version
        items = history.items_at_version(version)
        active = self._publication.active_pin(
            name, self._controller.recipients.recipient_zone(name)
        )
        return {
            "proxy": name,
            "version": str(version),
            "digest": history.digest_of_version(version) or str(history.digest),
            "items": [self._formatter.describe_item(key, items[key]) for key in sorted(items)],
            "pinned by": active.pin.id if active else None,
        }

    def diff(self, arguments: Arguments) -> Answer:
        """Return the differences between two versions of a proxy's tables."""
        name, history = self._find_history(arguments["proxy"])
        versions = [parse_version(arguments[side]) for side in ("one", "other")]
        if NO_VERSION in versions:
            raise PinError("expected two versions, EPOCH.SERIAL each")
        before, after = (history.items_at_version(version) for version in versions)
        return {"proxy": name, "changes": self._formatter.describe_difference(before, after)}

    def last_versions(self, _: Arguments) -> Answer:
        """Return each joined proxy's last sent version, its digest and its age in seconds."""
        now = self._wall_clock()
        last_versions = {}
        for _number, name, _zone in self._controller.recipients.all_recipients():
            history = self._publication.store.histories.get(name)
            if history and history.entries and not name.startswith(VIEW_PREFIX):
                digest = Digest(line_items(history.items))
                last_versions[name] = [
                    *history.newest_version,
                    str(digest),
                    now - history.entries[-1].published_at,
                ]
        return {"steward": self._controller.own_settings["name"], "ends": last_versions}

    def status(self, arguments: Arguments) -> Answer:
        """Return the state of the store, the table log on disk and the pins."""
        now = self._controller.loop.time()
        store = self._publication.store
        log = self._publication.table_log
        pins = self._publication.pins
        return {
            "steward": self._controller.own_settings["name"],
            "proxies": len(self._controller.recipients.all_recipients()),
            "versions": store.entry_count,
            "bytes": store.memory_bytes,
            "dropped": store.dropped_entries,
            "kept on disk": log.failure is None,
            "why not": log.failure,
            "not kept": log.lost_versions,
            "disk": sum(log.segment_sizes.values()),
            "pins": [self._pin_status(now, active) for _, active in sorted(pins.by_id.items())],
            "holders": self.proxy_versions() if arguments.get("proxies") else [],
        }

    def proxy_versions(self) -> list[Answer]:
        """Return the last sent and the last acknowledged version of each proxy and view.

        The two versions differ while a proxy has not acknowledged a change.
        """
        proxies = []
        for number, name, zone in self._controller.recipients.all_recipients():
            history = self._publication.store.histories.get(name)
            active = self._publication.active_pin(name, zone)
            sent = history.newest_version if history else NO_VERSION
            proxies.append(
                {
                    "proxy": name,
                    "sent": str(sent),
                    "held": str(self._acknowledged(number, sent)),
                    "pin": active.pin.id if active else None,
                }
            )
        return proxies

    def _acknowledged(self, number: int, sent: Version) -> Version:
        """Return a proxy's acknowledged version; a view applies the last sent version at once."""
        proxies = self._controller.proxies
        acknowledged = proxies.acknowledged_version(number) if proxies else None
        return sent if acknowledged is None else acknowledged

    def _find_history(self, name: str) -> tuple[str, History]:
        histories = self._publication.store.histories
        for published_name in (name, f"{VIEW_PREFIX}{name}"):
            if published_name in histories:
                return published_name, histories[published_name]
        raise PinError(f"expected a proxy or view that was published to, got {name!r}")

    def _pin_status(self, now: float, active: ActivePin) -> Answer:
        pin = active.pin
        recipients = self._controller.recipients.all_recipients()
        active_pins = [self._publication.active_pin(name, zone) for _, name, zone in recipients]
        held_here = sum(found is not None and found.pin.id == pin.id for found in active_pins)
        covered = sum(active.covers(now, name, zone) for _, name, zone in recipients)
        unknown = self._publication.pin_targets.unknown_targets
        return {
            "pin": pin.id,
            "whom": pin.scope,
            "which": pin.scope_argument,
            "target": pin.target,
            "to": pin.target_argument,
            "by": pin.operator,
            "age": now - active.created_at,
            "left": max(0.0, active.expires_at - now),
            "over": pin.rollout_duration,
            "ended": None if active.ended_at is None else now - active.ended_at,
            "holds here": held_here,
            "covered by a later pin": covered - held_here,
            "target not known": sorted(name for pin_id, name in unknown if pin_id == pin.id),
        }
