"""The DNS server: views of clients, which endpoints an answer names, and zone transfers."""
