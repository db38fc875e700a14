"""Network connections of a node: sans-I/O parsers and state machines, and the asyncio streams that carry them."""
