"""The DNS front: which view asks, which hosts its answer names, and the bytes that say so."""
