"""Tests that run side by side must not give one port to two programs: each worker has its own."""

from __future__ import annotations

import os

from chutepin.lab import standins

WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
WORKERS = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
SHARE = len(standins.PORTS) // WORKERS

standins.PORTS = standins.PORTS[WORKER * SHARE:(WORKER + 1) * SHARE]
