"""Node lists: where the hosts' names, places and phases come from."""
