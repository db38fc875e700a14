"""Stand-ins for the peers of a node, written from the published protocols, and generators of load on a node."""
