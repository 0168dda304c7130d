"""The record of what crossed the sockets, and the checker of the five rules that reads nothing else."""
