"""Bytes that an earlier version wrote, and the command that wrote them (`README.md`)."""
