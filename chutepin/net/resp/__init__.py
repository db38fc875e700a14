"""The platform's wire to balancers: requests as RESP arrays of bulk strings.

`parser` and `messages` are the codec, `connection` the protocol without a socket, `listener` accepts and ends
connections. All rules about requests are the broker's."""

from .connection import Connection
from .listener import RespListener
from .messages import BYE, format_answer, parse_call
from .parser import RespParser, array

__all__ = ["BYE", "Connection", "RespListener", "RespParser", "array", "format_answer", "parse_call"]
