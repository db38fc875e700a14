"""Data that the present version made, for later versions to meet."""
