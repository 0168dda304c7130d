"""`python -m peatlead.adapter`: runs planners for the simulator, one per controller instance.

Reads batches of event records from standard input and writes one reply per batch to standard
output. Exits with status 0 at the end of the input, and with status 2 if the input violates the
protocol.
"""

import gc
import sys
from collections.abc import Sequence
from typing import Union

from .interface import Event
from .planner.planner import Planner
from .wire.codec import read_batch, write_reply
from .wire.command_translator import CommandTranslator
from .wire.endpoint_ids import EndpointIds
from .wire.errors import WireFormatError
from .wire.event_records import Attach, EventRecord, Shutdown
from .wire.event_translator import EventTranslator
from .wire.layouts import EVENT_NAMES
from .wire.reply_records import ReplyRecord
from .wire.settings import settings_from_environment
from .wire.units import MICROSECONDS_PER_SECOND

EXIT_MALFORMED_INPUT = 2


class Instance:
    """One controller instance: a planner with its translators, sharing no state with others."""

    def __init__(self, record: Attach) -> None:
        settings = settings_from_environment(record.environment)
        endpoint_ids = EndpointIds()
        self.event_translator = EventTranslator(endpoint_ids, settings["report_fields"])
        self.command_translator = CommandTranslator(record.instance, endpoint_ids)
        self.planner = Planner(settings, record.seed)
        self.pending_events: list[Event] = []  # events of the current batch

    def submit(self, record: EventRecord) -> None:
        """Queue the event of a record for the next `decide`."""
        self.pending_events.append(self.event_translator.translate(record))

    def decide(self, now: float) -> list[ReplyRecord]:
        """Return the planner's commands for the queued events; `now` is in seconds.

        An exception of the planner becomes a `Broken` record.
        """
        events, self.pending_events = self.pending_events, []
        try:
            commands = self.planner.decide(now, events)
            return [self.command_translator.translate(command) for command in commands]
        except Exception as error:  # of any type, so that the other instances continue
            return [self.command_translator.error_record(error)]


class RejectedInstance:
    """An instance whose settings can't be used; it answers each batch with the error.

    The other instances of the process continue.
    """

    def __init__(self, record: Attach, error: Exception) -> None:
        self.reply = CommandTranslator(record.instance, EndpointIds()).error_record(error)

    def submit(self, record: EventRecord) -> None:
        """Ignore the record."""

    def decide(self, now: float) -> list[ReplyRecord]:
        """Return the error; `now` is in seconds."""
        return [self.reply]


Instances = dict[int, Union[Instance, RejectedInstance]]  # by number


def _start_instance(record: Attach) -> Union[Instance, RejectedInstance]:
    """Return a new instance, rejected if its settings have values of a wrong type or range."""
    try:
        return Instance(record)
    except (AttributeError, LookupError, TypeError, ValueError, ArithmeticError) as error:
        return RejectedInstance(record, error)


def process_batch(
    instances: Instances, clock_us: int, records: Sequence[EventRecord]
) -> list[ReplyRecord]:
    """Return the reply to one batch. Adds started instances to `instances` and removes ended ones.

    Raises WireFormatError if a record names an instance that is not running.
    """
    for record_number, record in enumerate(records):
        _submit(instances, record_number, record)
    reply: list[ReplyRecord] = []
    for instance_number in dict.fromkeys(record.instance for record in records):
        if instance_number in instances:
            reply.extend(instances[instance_number].decide(clock_us / MICROSECONDS_PER_SECOND))
    return reply


def _submit(instances: Instances, record_number: int, record: EventRecord) -> None:
    """Start or end the record's instance, or pass the record to it. Raises WireFormatError."""
    if isinstance(record, Attach):
        instances[record.instance] = _start_instance(record)
        return
    if record.instance not in instances:
        raise WireFormatError(
            f"record {record_number}: {EVENT_NAMES[type(record)]} for instance {record.instance}, "
            "which is not running"
        )
    if isinstance(record, Shutdown):
        del instances[record.instance]
    else:
        instances[record.instance].submit(record)


def main() -> int:
    """Answer batches until the input ends. Return the exit code."""
    instances: Instances = {}
    gc.freeze()
    try:
        while (batch := read_batch(sys.stdin.buffer)) is not None:
            reply = process_batch(instances, batch.clock_us, batch.records)
            sys.stdout.buffer.write(write_reply(reply))
            sys.stdout.buffer.flush()
    except WireFormatError as error:
        print(f"peatlead.adapter: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
