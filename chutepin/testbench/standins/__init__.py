"""Stand-ins for the platform's parties, written from their published protocols, and what makes load between them."""
