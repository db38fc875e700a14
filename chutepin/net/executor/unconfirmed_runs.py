"""Runs whose EXEC may or may not have been read when its link was lost, and the probes that find out.

An EXEC that is written after the end of its run could start the run a second time, so the EXEC of a request that must
not run twice is written again only if a probe finds no run. The probe is a KILL, which pauses a run that can resume.
The executor answers in order: a METERS without a notice before it shows that there was nothing to stop.
`docs/design.md` has the table of states and events."""

from __future__ import annotations

from dataclasses import dataclass

LATE_STOP_METERS = 2  # METERs after a probe within which its stop may still be reported


@dataclass(slots=True)
class UnconfirmedRun:
    """One run whose EXEC may or may not have been read."""

    exec: bytes
    probe_meter: int | None = None  # the METER whose answer ends the probe; None without a probe on this link


class UnconfirmedRuns:
    """The unconfirmed runs of a session, and the stops by which they were probed."""

    def __init__(self) -> None:
        self._runs: dict[str, UnconfirmedRun] = {}
        self._probe_stops: dict[str, int] = {}  # run to the METER until whose answer a stop counts as the probe's

    def link_lost(self, execs: dict[str, bytes]) -> None:
        """Add the EXECs, by run, that were written on the lost link and not confirmed; abandon open probes.

        The stop of an abandoned probe may have been read, and is then reported on the next link."""
        for run in self._runs.values():
            run.probe_meter = None
        self._runs |= {id: UnconfirmedRun(data) for id, data in execs.items()}

    def is_unconfirmed(self, id: str) -> bool:
        """Return whether a run's EXEC may or may not have been read."""
        return id in self._runs

    def is_unresolved(self, id: str) -> bool:
        """Return whether a run is unconfirmed and not being probed."""
        run = self._runs.get(id)
        return run is not None and run.probe_meter is None

    def unresolved_ids(self) -> list[str]:
        """Return the unconfirmed runs that are not being probed."""
        return [id for id in self._runs if self.is_unresolved(id)]

    def probed(self, id: str, meter: int) -> None:
        """Record that a KILL was written for a run, directly before this METER."""
        self._runs[id].probe_meter = meter
        self._probe_stops[id] = meter

    def is_stopped_by_probe(self, id: str) -> bool:
        """Return whether a stop of this run that is reported now was caused by a probe."""
        return id in self._probe_stops

    def meter_answered(self, meter: int, last_meter: int) -> list[str]:
        """Record the answer to a METER; return the runs whose probes found nothing. `last_meter`: the last one sent."""
        self._probe_stops = {id: until for id, until in self._probe_stops.items() if until > meter or id in self._runs}
        not_found_ids = []
        for id, run in self._runs.items():
            if run.probe_meter is not None and run.probe_meter <= meter:
                run.probe_meter = None
                self._probe_stops[id] = last_meter + LATE_STOP_METERS
                not_found_ids.append(id)
        return not_found_ids

    def take_exec(self, id: str) -> bytes:
        """Remove a run, whose EXEC is written again, and return the EXEC."""
        return self._runs.pop(id).exec

    def forget(self, id: str) -> None:
        """Remove a run that is confirmed or over, and treat a later stop of the run as requested."""
        self._runs.pop(id, None)
        self._probe_stops.pop(id, None)
