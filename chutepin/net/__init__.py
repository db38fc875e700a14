"""The wires: asyncio streams and their sans-I/O parsers."""
