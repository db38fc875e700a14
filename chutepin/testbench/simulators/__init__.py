"""The nodes' own code in virtual time, under a schedule of faults."""
