"""The lab: runs the program on simulated time, reproducibly from one seed.

Processes, clocks and the network are simulated. Controllers, proxies and endpoints run unchanged.
"""
