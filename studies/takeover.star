# What does a takeover cost? The same troubles of hosts with three controllers struck at random, and otherwise.
study(
    name = "takeover",
    question = "Service through takeovers: three controllers struck at random, sharing a fleet or nothing; one left alone.",
    seeds = 8,
)
BASE = """
day(length = 30, stewards = 3)
fleet(hosts = 24, warm_after = 8)
desks(views = 0, shared = 0)
agents(many = 40, rate = 120)
release(at = 6, length = 12, part = 0.4)
silent(at = 12, length = 8, part = 0.1)
"""
case(name = "struck at random", script = BASE + "stewards_struck(at = 3, length = 22, every = 4, most = 8)")
case(name = "tables frozen from 4 s on", script = BASE + "\n".join(
    ["steward_killed(at = 4, length = 60, steward = %d)" % at for at in range(3)]))
vary(name = "one fleet")
vary(name = "one steward", set = {"day.stewards": 1})
vary(name = "sharing nothing", set = {"agents.share": False})
