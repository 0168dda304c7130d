"""Versioned tables, measured.

`python -m peatlead.benchmarks.tables store|wire|kills|stewards|start|back|zone [NUMBER]`

- store: histories against plain copies, bytes and seconds, in one run
- wire: deltas against whole tables: entries, bytes and waits in the channel, with the planner's own
  commands on a simulated clock
- kills: a writer killed while it writes, and what is read afterwards (NUMBER kills)
- stewards: whole controllers killed, and how long a start takes (NUMBER kills)
- start: reading a log of many versions
- back: from a pin to the last proxy that is rolled back, simulated (NUMBER seeds)
- zone: versions of the zone for secondaries
"""

import sys

from .tables_controllers import measure_controllers
from .tables_log import measure_kills, measure_read, write_until_killed
from .tables_rollback import measure_rollback
from .tables_store import measure_store
from .tables_wire import measure_wire
from .tables_zone import measure_zone

MEASUREMENTS = {
    "store": measure_store,
    "wire": measure_wire,
    "start": measure_read,
    "zone": measure_zone,
}
NUMBERED = {  # these take a number
    "kills": measure_kills,
    "stewards": measure_controllers,
    "back": measure_rollback,
}


def main() -> None:
    """Measure what the command line names; `writer` is the child process of `kills`."""
    name = sys.argv[1]
    if name == "writer":
        write_until_killed(sys.argv[2], int(sys.argv[3]))
    elif name in MEASUREMENTS:
        MEASUREMENTS[name]()
    else:
        NUMBERED[name](*map(int, sys.argv[2:3]))


if __name__ == "__main__":
    main()
