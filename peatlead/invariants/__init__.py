"""Recordings of what crossed the sockets, and the check of the five rules on them."""
