"""Bytes written by an earlier version, and the modules that generate them (`README.md`)."""
