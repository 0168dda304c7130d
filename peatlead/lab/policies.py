"""Simple planners for comparison in studies.

`HomePlanner` uses only endpoints of the proxy's own zone. `OraclePlanner` knows the true state of
all endpoints and gives an upper bound.
"""

from .. import interface

TICK_INTERVAL = 0.1  # seconds


class TablePlanner:
    """Base of planners with one table per zone of proxies.

    Subclasses define `target_weights(zone)`, which returns the weights of a zone's table by endpoint id.
    """

    def __init__(self, settings, seed):
        self.request_classes, self.zones = (
            tuple(range(len(settings["req_kinds"]))),
            range(len(settings["zones"])),
        )
        self.endpoints, self.tables, self.timer_started = (
            {},
            {zone: {} for zone in self.zones},
            False,
        )

    def decide(self, now, events):
        """Return the commands that follow from a batch of events."""
        commands = [] if self.timer_started else [interface.SetTimer(0, TICK_INTERVAL)]
        self.timer_started = True
        for event in events:
            if type(event) is interface.EndpointUpdate and event.scope != "unavailable":
                if event.scope != "changes":
                    self.endpoints = {}
                self.endpoints.update({endpoint.id: endpoint for endpoint in event.endpoints})
            elif type(event) is interface.ProxyConnected:
                commands.append(
                    interface.AssignTable(event.proxy, event.zone, self.request_classes)
                )
            elif type(event) is interface.TimerFired:
                commands.append(interface.SetTimer(0, TICK_INTERVAL))
        for zone in self.zones:
            commands += self.update_table(zone, self.target_weights(zone))
        return commands

    def update_table(self, zone, target):
        """Return commands that change a zone's table to the target weights."""
        previous, self.tables[zone] = self.tables[zone], target
        return [
            interface.SetEntry(zone, endpoint, target.get(endpoint, 0.0))
            for endpoint in sorted(previous.keys() | target.keys())
            if target.get(endpoint) != previous.get(endpoint)
        ]

    def ready_endpoints(self):
        """Return the listed endpoints that are ready."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.phase == "ready"]


class HomePlanner(TablePlanner):
    """Uses all ready endpoints of the proxy's own zone, or of all zones if there are none."""

    def target_weights(self, zone):
        """Return the listed weights of the zone's endpoints."""
        in_zone = [
            endpoint for endpoint in self.ready_endpoints() if endpoint.zone == zone
        ] or self.ready_endpoints()
        return {endpoint.id: endpoint.weight for endpoint in in_zone}


class OraclePlanner(TablePlanner):
    """Uses the true capacity of each endpoint at each moment, whatever the endpoint list says.

    `capacities()` returns the cores that each endpoint can use now, by endpoint name.
    """

    def __init__(self, settings, seed, capacities):
        super().__init__(settings, seed)
        self.capacities, self.endpoint_ids = capacities, {}

    def target_weights(self, zone):
        """Return the capacities as weights, or the listed weights if no endpoint has capacity."""
        capacities, weights = self.capacities(), {}
        self.endpoint_ids.update(
            {endpoint.name.decode(): endpoint.id for endpoint in self.endpoints.values()}
        )
        for name, cores in capacities.items():
            if name in self.endpoint_ids and cores > 0:
                weights[self.endpoint_ids[name]] = round(cores, 1) or 0.1
        return weights or {endpoint.id: endpoint.weight for endpoint in self.ready_endpoints()}
