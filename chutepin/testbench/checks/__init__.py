"""Histories of runs, invariants as functions of a history, and a model checker of consensus."""
