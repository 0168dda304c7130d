"""Recordings of the traffic on the sockets, and the rules that are checked on them."""
