"""The simulator's wire: a binary codec, and the translation between its names and the interface's."""
