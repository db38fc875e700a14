"""Scale: what membership costs and how well it works among many members, in virtual time and in real time."""
