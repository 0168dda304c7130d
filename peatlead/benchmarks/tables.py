"""Measures versioned tables.

`python -m peatlead.benchmarks.tables store|wire|kills|stewards|start|back|zone [NUMBER]`

- store: memory and time of table histories, compared with full copies
- wire: entries, bytes and channel waits of deltas, compared with whole tables, for the commands of
  a planner on a simulated clock
- kills: kills a process that writes a table log, and checks what is read afterwards (NUMBER kills)
- stewards: kills whole controllers, and measures how long a start takes (NUMBER kills)
- start: the time to read a log of many versions
- back: the time from a pin to the rollback of each proxy, simulated (NUMBER seeds)
- zone: the time of versions of a DNS zone and of their transfers to secondaries
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
MEASUREMENTS_WITH_NUMBER = {  # measurements with a number as argument
    "kills": measure_kills,
    "stewards": measure_controllers,
    "back": measure_rollback,
}


def main() -> None:
    """Run the measurement that the command line names; `writer` is the child process of `kills`."""
    name = sys.argv[1]
    if name == "writer":
        write_until_killed(sys.argv[2], int(sys.argv[3]))
    elif name in MEASUREMENTS:
        MEASUREMENTS[name]()
    else:
        MEASUREMENTS_WITH_NUMBER[name](*map(int, sys.argv[2:3]))


if __name__ == "__main__":
    main()
