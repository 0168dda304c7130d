"""Stand-ins, written here from public specifications: hosts, resolvers, desks, the node list."""
