# How large should shards be? The loss when hosts go bad, against how many views hold each host.
study(
    name = "shards",
    question = "Shard coverage and staging against the loss when hosts fall silent or err: 24 hosts, 48 views.",
    seeds = 6,
)
BASE = """
day(length = 18)
fleet(hosts = 24, warm_after = 8)
desks(views = 48, rate = 120, shared = 0)
"""
case(name = "two hosts fall silent", script = BASE + "silent(at = 3, length = 14, part = 0.08)")
case(name = "a pod restarts", script = BASE + "pod_restart(at = 3)")
vary(name = "as is")
vary(name = "coverage 8", set = {"module.COVERAGE": 8.0})
vary(name = "coverage 48", set = {"module.COVERAGE": 48.0})
policy(names = ["shards", "plain", "home", "oracle"])
