"""Simulators that run the production node code in virtual time under a fault schedule."""
