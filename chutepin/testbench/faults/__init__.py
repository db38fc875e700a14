"""Schedules of faults, and the rigs that play them on real processes."""
