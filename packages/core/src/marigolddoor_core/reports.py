"""Soft reports at the leader: targets, demand and the entry processes that send them.

Nothing here is agreed or stored. After a change of the leader it fills again within seconds, and
until then the fleet shows no target, so that no decision takes silence for failure.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from marigolddoor_core.fleet import Demand, ObservedTarget
from marigolddoor_core.ids import DataCentreId, ProcessId, Revision, ServiceId, VmId
from marigolddoor_core.instants import Instant, after, elapsed

__all__ = ["EntryReport", "FleetReports", "ReportOutcome"]

# An entry process reports every second. A data centre whose entry processes are all silent for
# longer than this is cut off or lost.
SILENT_DATA_CENTRE_S = 5.0
# A watch on a lost control process ends after 8 s, and the entry process reports to the new leader
# within a second of the next one. Until then its silence at a new leader says nothing.
FIND_LEADER_S = 10.0
# Demand of a process that is silent for longer than this no longer counts.
STALE_DEMAND_S = 5.0
FORGET_PROCESS_S = 600.0


@dataclass(frozen=True, slots=True)
class EntryReport:
    """The latest report of one entry process."""

    process: ProcessId
    data_centre: DataCentreId
    received: Instant
    in_force: Revision
    demand: Mapping[ServiceId, Demand]
    address: str = ""


@dataclass(frozen=True, slots=True)
class _Sighting:
    """A target as its holder reported it, and when the announcement was made."""

    target: ObservedTarget
    holder: ProcessId
    announced: Instant


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """What a holder's report brought.

    `is_missing_delta` says that a full list is wanted. `has_news` says that a decision may have
    something to do at once; most announcements only say that nothing changed.
    """

    is_missing_delta: bool
    has_news: bool


class FleetReports:
    """Keeps the latest report of every target and every entry process."""

    def __init__(self) -> None:
        self.sightings: dict[VmId, _Sighting] = {}
        self.entries: dict[ProcessId, EntryReport] = {}
        self.sequences: dict[ProcessId, int] = {}
        self.known_data_centres: dict[DataCentreId, Instant] = {}

    def clear(self) -> None:
        """Forget everything; done when the process becomes leader."""
        self.__init__()  # type: ignore[misc]

    def expect(self, data_centres: Iterable[DataCentreId], now: Instant) -> None:
        """Count data centres that were not heard yet as silent later, unless they report.

        A leader that is elected because of a partition never hears the data centre that is cut off.
        """
        for data_centre in data_centres:
            self.known_data_centres.setdefault(data_centre, after(now, FIND_LEADER_S))

    def record_targets(
        self,
        holder: ProcessId,
        sequence: int,
        full: bool,
        targets: Iterable[ObservedTarget],
        gone: Iterable[VmId],
        now: Instant,
    ) -> ReportOutcome:
        """Take a holder's report. A gap in the sequence means that a delta was lost."""
        expected = self.sequences.get(holder)
        missed = not full and (expected is None or sequence != expected + 1)
        self.sequences[holder] = sequence
        seen = set()
        has_news = False
        for target in targets:
            has_news = self._see(target, holder, now) or has_news
            seen.add(target.announcement.vm)
        for vm in gone:
            self._forget(vm, holder)
            has_news = True
        if full:
            for vm in [vm for vm, old in self.sightings.items() if old.holder == holder]:
                if vm not in seen:
                    del self.sightings[vm]
                    has_news = True
        return ReportOutcome(missed, has_news)

    def record_entry(self, report: EntryReport) -> None:
        """Take the demand report of an entry process.

        A process has a new id after a restart; it replaces the one that had its address.
        """
        replaced = [
            old.process
            for old in self.entries.values()
            if report.address and old.address == report.address and old.process != report.process
        ]
        for process in replaced:
            del self.entries[process]
        self.entries[report.process] = report
        # A process that restarts has a new id, so old ones would pile up.
        for process, old in list(self.entries.items()):
            if elapsed(old.received, report.received) > FORGET_PROCESS_S:
                del self.entries[process]
                self.sequences.pop(process, None)
        self.known_data_centres[report.data_centre] = report.received

    def targets(self, now: Instant) -> dict[VmId, ObservedTarget]:
        """Return every known target with the age of its announcement."""
        return {
            vm: replace(sighting.target, age_s=elapsed(sighting.announced, now))
            for vm, sighting in self.sightings.items()
        }

    def demand(self, now: Instant) -> dict[ServiceId, Demand]:
        """Return the demand for each service, summed over the entry processes that report."""
        total: dict[ServiceId, Demand] = {}
        for report in self.entries.values():
            if elapsed(report.received, now) > STALE_DEMAND_S:
                continue
            for service, part in report.demand.items():
                total[service] = _sum(total[service], part) if service in total else part
        return total

    def silent_data_centres(self, now: Instant) -> frozenset[DataCentreId]:
        """Return the data centres from which no entry process was heard for too long."""
        return frozenset(
            data_centre
            for data_centre, heard in self.known_data_centres.items()
            if elapsed(heard, now) > SILENT_DATA_CENTRE_S
        )

    def in_force(self) -> dict[ProcessId, Revision]:
        """Return the revision that each entry process works with, as last reported."""
        return {process: report.in_force for process, report in self.entries.items()}

    def _see(self, target: ObservedTarget, holder: ProcessId, now: Instant) -> bool:
        """Record a target; return whether it differs from before in what decisions wait for."""
        announced = after(now, -target.age_s)
        vm = target.announcement.vm
        old = self.sightings.get(vm)
        # Two holders may report one target after it announced itself elsewhere; the later
        # announcement counts.
        if old is not None and old.holder != holder and old.announced > announced:
            return False
        self.sightings[vm] = _Sighting(target, holder, announced)
        return old is None or _facts(old.target) != _facts(target)

    def _forget(self, vm: VmId, holder: ProcessId) -> None:
        old = self.sightings.get(vm)
        if old is not None and old.holder == holder:
            del self.sightings[vm]


def _facts(target: ObservedTarget) -> tuple[object, ...]:
    told = target.announcement
    return (
        target.state,
        told.incarnation,
        told.epoch,
        told.address,
        told.leaving,
        told.drained,
        tuple((task.task, task.token, task.phase) for task in told.tasks),
    )


def _sum(one: Demand, other: Demand) -> Demand:
    return Demand(
        max(one.interval_s, other.interval_s),
        one.arrived + other.arrived,
        one.admitted + other.admitted,
        one.refused + other.refused,
        one.late + other.late,
        one.queued + other.queued,
        one.slots + other.slots,
    )
