"""The emulator: the same program on simulated time, with a modelled network and processes, all from one seed."""
