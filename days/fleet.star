# Three controllers over one fleet of agents, killed and frozen at random.
day(length = 60, seed = 11, stewards = 3)
fleet(hosts = 24)
desks(views = 0, shared = 0)
agents(many = 80, rate = 300)
stewards_struck(at = 5, length = 45, every = 6, most = 8)
release(at = 12, length = 20, part = 0.4)
silent(at = 30, length = 10, part = 0.08)
