"""Day scripts: the fleet, its traffic and the faults of a day, and the driver that plays them."""
