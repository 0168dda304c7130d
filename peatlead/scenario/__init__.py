"""Day scripts: who is there, how much they ask, which trouble strikes when; and how a day is played."""
