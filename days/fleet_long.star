# Ten minutes of three controllers killed and frozen at random: docs/results/shared-fleet.md.
day(length = 600, seed = 21, stewards = 3)
fleet(hosts = 24)
desks(views = 0, shared = 0)
agents(many = 80, rate = 300)
stewards_struck(at = 5, length = 580, every = 7, most = 12)
[release(at = 40 + 120 * i, length = 30, part = 0.3) for i in range(4)]
[silent(at = 90 + 120 * i, length = 12, part = 0.08) for i in range(4)]
