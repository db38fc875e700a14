"""AMQP 0-9-1 as a consumer, under the same rules as the platform's requests.

`frames` and `session` are the protocol without a socket, `requests` maps deliveries to requests, `consumer` settles
them and owns the link. Loaded only where a file of queues is given."""

from .consumer import Consumer
from .frames import FrameParser, decode
from .session import PROTOCOL_HEADER, Content, Session, State

__all__ = ["PROTOCOL_HEADER", "Consumer", "Content", "FrameParser", "Session", "State", "decode"]
