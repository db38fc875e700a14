"""Scale runs: cost and quality of membership among many members, in virtual time and in real time."""
