"""RESP connections with balancers: requests and answers as arrays of bulk strings.

`parser` and `messages` are the codec, `connection` the protocol without a socket, `listener` accepts, limits and
closes connections. Decisions about requests are made by the broker."""

from .connection import Connection
from .listener import RespListener
from .messages import BYE, format_answer, parse_call
from .parser import RespParser, array

__all__ = ["BYE", "Connection", "RespListener", "RespParser", "array", "format_answer", "parse_call"]
