"""A settable system clock for the processes of the fault rig. Not part of the program.

Python imports this file at start if its directory is in PYTHONPATH. The clock offset in seconds is a double in the file
$LAB_CLOCK, which the rig writes and the process maps into memory."""

import mmap
import os
import struct
import time

_offset_format = struct.Struct("d")
with open(os.environ["LAB_CLOCK"], "r+b") as _offset_file:
    _offset_map = mmap.mmap(_offset_file.fileno(), 8)
_system_time, _system_time_ns = time.time, time.time_ns
time.time = lambda: _system_time() + _offset_format.unpack_from(_offset_map)[0]
time.time_ns = lambda: _system_time_ns() + int(_offset_format.unpack_from(_offset_map)[0] * 1e9)
