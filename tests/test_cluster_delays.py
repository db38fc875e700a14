"""Metrics that distinguish a delayed event loop from dropped datagrams as the cause of a false death."""

from __future__ import annotations

import socket

from chutepin.cluster.datagram_drops import count_dropped

from .cluster_helper import make_detector


def test_longest_delay_is_maximum_tick_delay() -> None:
    detector = make_detector(1, 2, 3)
    now = 0.0
    for lateness in (0.0, 0.04, 0.3, 0.1):
        now = detector.wake_at() + lateness
        detector.tick(now)
        detector.drain_effects()
    assert abs(detector.health.longest_delay - 0.3) < 1e-6


def test_receive_buffer_overflow_is_counted() -> None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        receiver.bind(("127.0.0.1", 0))
        before = count_dropped(receiver)
        assert before in (0, None)
        for _ in range(200):
            sender.sendto(b"x" * 1000, receiver.getsockname())
        after = count_dropped(receiver)
        if before is not None:  # None means that the system has no count, unlike 0
            assert after is not None
            assert 100 < after <= 200
