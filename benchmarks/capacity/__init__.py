"""The capacity page: measured slopes, extrapolated to the size in `benchmarks.fleet_size`, rendered as Markdown."""
