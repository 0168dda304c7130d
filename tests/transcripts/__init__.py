"""Golden transcripts: what the program sends and reads, as stored files that a later version has to reproduce."""
