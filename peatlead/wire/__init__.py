"""The simulator's wire: its binary codec, and its records' translation to the interface."""
