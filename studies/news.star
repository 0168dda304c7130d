# What could controllers gain by telling each other what they have learnt? One steward hears every sum there is,
# at once and at no cost: no advice among three could tell them more. So the difference bounds what it is worth.
study(
    name = "news",
    question = "Three controllers that each hear a third of the tries, beside one that hears all: the most that shared news could bring.",
    seeds = 10,
)
BASE = """
day(length = 30, stewards = 3)
fleet(hosts = 24, warm_after = 8)
desks(views = 0, shared = 0)
agents(many = 40, rate = 120)
"""
case(name = "silent hosts", script = BASE + "silent(at = 6, length = 12, part = 0.13)\nsilent(at = 20, length = 8, part = 0.1)")
case(name = "hung hosts", script = BASE + "hung(at = 6, length = 12, part = 0.13)\nhung(at = 20, length = 8, part = 0.1)")
case(name = "quick errors", script = BASE + "quick_errors(at = 6, length = 12, part = 0.13, errors = 0.6)")
case(name = "neighbours", script = BASE + "neighbour(at = 6, length = 18, part = 0.2, stolen = 0.6)")
case(name = "pods restart", script = BASE + "pod_restart(at = 6, pods = 1)\npod_restart(at = 16, pods = 1)")
case(name = "agents that don't shun", script = BASE.replace("rate = 120", "rate = 120, fails_to_shun = 0") +
    "silent(at = 6, length = 12, part = 0.13)\nquick_errors(at = 20, length = 8, part = 0.1, errors = 0.6)")
vary(name = "three, each its third")
vary(name = "one that hears all", set = {"day.stewards": 1})
