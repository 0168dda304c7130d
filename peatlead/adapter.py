"""`python -m peatlead.adapter`: one isolated planner an instance, on the simulator's wire.

Batches come on standard input; each is answered by one reply on standard output. The adapter ends
with 0 at the end of its input, and with 2 where the input isn't the wire's.
"""

import gc
import sys
from collections.abc import Sequence

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
    """One controller: its own planner and its own ids; nothing is shared with another."""

    def __init__(self, record: Attach) -> None:
        settings = settings_from_environment(record.environment)
        endpoint_ids = EndpointIds()
        self.event_translator = EventTranslator(endpoint_ids, settings["report_fields"])
        self.command_translator = CommandTranslator(record.instance, endpoint_ids)
        self.planner = Planner(settings, record.seed)
        self.pending: list[Event] = []  # events of the batch that is read

    def submit(self, record: EventRecord) -> None:
        """Keep a record's event until `decide`."""
        self.pending.append(self.event_translator.translate(record))

    def decide(self, now: float) -> list[ReplyRecord]:
        """The planner's commands on the pending events; `now` is in seconds."""
        events, self.pending = self.pending, []
        try:
            commands = self.planner.decide(now, events)
            return [self.command_translator.translate(command) for command in commands]
        except Exception as error:  # of any kind: it must reach the report of this instance alone
            return [self.command_translator.broken(error)]


def process_batch(
    instances: dict[int, Instance], clock_us: int, records: Sequence[EventRecord]
) -> list[ReplyRecord]:
    """The reply to one batch; starts and ends of instances change `instances`."""
    for number, record in enumerate(records):
        _submit(instances, number, record)
    reply: list[ReplyRecord] = []
    for number in dict.fromkeys(record.instance for record in records):
        if number in instances:
            reply.extend(instances[number].decide(clock_us / MICROSECONDS_PER_SECOND))
    return reply


def _submit(instances: dict[int, Instance], number: int, record: EventRecord) -> None:
    """Start or end the record's instance, or hand the record to it."""
    if isinstance(record, Attach):
        instances[record.instance] = Instance(record)
        return
    if record.instance not in instances:
        raise WireFormatError(
            f"record {number}: {EVENT_NAMES[type(record)]} for instance {record.instance}, "
            "which was never started"
        )
    if isinstance(record, Shutdown):
        del instances[record.instance]
    else:
        instances[record.instance].submit(record)


def main() -> int:
    """Answer batches until the input ends; returns the exit code."""
    instances: dict[int, Instance] = {}
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
