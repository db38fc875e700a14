"""Schedules of faults, and the rigs that inject them into real processes."""
