"""An AMQP 0-9-1 consumer whose deliveries follow the same rules as requests of balancers.

`frames` and `session` are the protocol without a socket, `requests` maps deliveries to requests, `consumer` settles
deliveries and owns the link. Loaded only if queues are configured."""

from .consumer import Consumer
from .frames import FrameParser, decode
from .session import PROTOCOL_HEADER, Content, Session, State

__all__ = ["PROTOCOL_HEADER", "Consumer", "Content", "FrameParser", "Session", "State", "decode"]
