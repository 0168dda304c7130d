"""The DNS server: views of clients, answers with weighted endpoints, and zone transfers."""
