"""The emulator: the same program on simulated time, reproducible from one seed.

Processes, clocks and the network are modelled; controllers, proxies and endpoints run unchanged.
"""
