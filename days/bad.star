# A bad day: every kind of trouble that the rules were written for, some on top of each other.
day(length = 70, seed = 7)
fleet(zones = ["bangna", "silom", "rama"], hosts = 24)
desks(
    views = 60,
    rate = 300,
    # Of ten resolvers seven keep the RFCs; the others are what desks really have.
    resolvers = ["keeps", "keeps", "stale", "keeps", "twice", "keeps", "keeps", "least", "keeps", "tenfold"],
    habits = ["first", "any", "same", "sorted", "holds"],
)
silent(at = 3, length = 9, part = 0.09)
list_torn(at = 5, length = 3)
release(at = 10, length = 18, part = 0.45)          # cold successors, names and addresses of their own
list_ghosts(at = 13, length = 6)
steward_killed(at = 18, length = 5, steward = 0)    # in the middle of the release
list_empty(at = 27, length = 4)
hung(at = 31, length = 8, part = 0.09)
steward_frozen(at = 33, length = 10, steward = 1)
quick_errors(at = 41, length = 7, part = 0.09)
burst(at = 43, length = 5, times = 1.4)
pod_restart(at = 49, pods = 1)                      # four hosts die at once and come back cold
shift(at = 52, length = 8, zone = "silom", times = 1.6)
list_old(at = 54, length = 6)
pauses(at = 56, length = 6, part = 0.2)
heavy_tail(at = 61, length = 6, kind = "record-lookup", share = 0.02, times = 8)
lost_answers(at = 62, length = 6, part = 0.1)
