"""`python -m peatlead.adapter`: hosts one isolated planner an instance on the simulator's wire."""

import gc
import sys

from .planner.planner import Planner
from .wire.codec import MICRO, WireFormatError, read_batch, write_reply
from .wire.names import WireTranslator


class Instance:
    """One steward: its own planner and its own ids; nothing is shared with another."""

    def __init__(self, record):
        self.translator = WireTranslator(record["env"])
        self.planner = Planner(self.translator.settings, record["seed"])
        self.waiting = []


def take_batch(instances, clock, records):
    """The reply's records for one batch; `instances` is changed by starts and stops."""
    for number, (name, record) in enumerate(records):
        inst = record["i"]
        if name == "ATTACH":
            instances[inst] = Instance(record)
        elif inst not in instances:
            raise WireFormatError(
                f"record {number}: {name} for instance {inst}, which was never started"
            )
        elif name == "SHUTDOWN":
            del instances[inst]
        else:
            held = instances[inst]
            held.waiting.append(held.translator.event(name, record))
    reply = []
    for inst in dict.fromkeys(record["i"] for _, record in records):
        held = instances.get(inst)
        if held is None:
            continue
        events, held.waiting = held.waiting, []
        try:
            orders = [
                held.translator.order(inst, order)
                for order in held.planner.decide(clock / MICRO, events)
            ]
        except (
            Exception
        ) as problem:  # whatever it is, it must reach the report of this instance alone
            text = f"{type(problem).__name__}: {problem}".encode("utf-8")[:2000]
            orders = [("BROKEN", {"i": inst, "reasonText": text})]
        reply.extend(orders)
    return reply


def main():
    stream, out, instances = sys.stdin.buffer, sys.stdout.buffer, {}
    gc.freeze()
    try:
        while (batch := read_batch(stream)) is not None:
            out.write(write_reply(take_batch(instances, *batch)))
            out.flush()
    except WireFormatError as problem:
        print(f"peatlead.adapter: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
