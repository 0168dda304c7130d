"""The plain baseline: every listed host in every answer, no health, no shards. It decides nothing else."""

from .. import interface as our


class PlainPlanner:
    """Stands in the planner's place: all ready hosts at their listed weights, for all proxies, at once."""

    def __init__(self, facts, seed):
        self.kinds, self.lines, self.proxies = tuple(range(len(facts["req_kinds"]))), {}, []

    def decide(self, now, events):
        orders = []
        for event in events:
            if type(event) is our.Roster and event.scope != "unavailable":
                goal = {m.host: m.weight for m in event.members if m.phase == "ready"}
                for host in sorted(self.lines.keys() | goal.keys()):
                    if goal.get(host) != self.lines.get(host):
                        orders.append(our.SetLine(0, host, goal.get(host, 0.0)))
                self.lines = goal
            elif type(event) is our.ProxyJoined:
                orders.append(our.BindTable(event.proxy, 0, self.kinds))
            elif type(event) is our.TimerFired:
                orders.append(our.SetTimer(0, 0.1))
        if not self.proxies:
            self.proxies = [True]
            orders.append(our.SetTimer(0, 0.1))
        return orders
