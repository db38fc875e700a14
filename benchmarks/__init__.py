"""Measurements: each module prints or keeps figures of one subject; none of them runs in CI."""
