"""The laboratory: stand-ins and the demo. An extra; no part of a node imports it."""
