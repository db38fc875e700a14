"""The test bench: stand-ins, fault injection, simulators, checks and scale runs. No part of a node imports it."""
