"""The leader's soft state: reported targets and demand, and the reporting entry processes.

None of it is replicated or stored. On a new leader it is rebuilt from reports within seconds. Until
then the fleet has no targets, so that no decision mistakes missing reports for failures.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from marigolddoor_core.fleet import Demand, ObservedTarget
from marigolddoor_core.ids import DataCentreId, ProcessId, Revision, ServiceId, VmId
from marigolddoor_core.instants import Instant, after, elapsed

__all__ = ["EntryReport", "FleetReports", "ReportOutcome"]

# Entry processes report every second. A data centre without a report for longer than this is
# unreachable or lost.
DATA_CENTRE_TIMEOUT_S = 5.0
# An entry process ends its watch on a lost control process after 8 s, and reports to the new leader
# within a second of the next watch. Until then a new leader must not infer a failure from missing
# reports.
FIRST_REPORT_TIMEOUT_S = 10.0
# The demand of a process that has not reported for longer than this is ignored.
DEMAND_TIMEOUT_S = 5.0
PROCESS_RETENTION_S = 600.0


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
    """A target as its holder reported it, with the time of the announcement."""

    target: ObservedTarget
    holder: ProcessId
    announced: Instant


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """The outcome of a holder's report.

    `is_missing_delta`: the holder must send a full list. `has_news`: decisions should run at once.
    Most announcements do not change the inputs of decisions.
    """

    is_missing_delta: bool
    has_news: bool


class FleetReports:
    """Keeps the latest report of every target and every entry process."""

    def __init__(self) -> None:
        self.reported_targets: dict[VmId, _Sighting] = {}
        self.entries: dict[ProcessId, EntryReport] = {}
        self.sequences: dict[ProcessId, int] = {}
        self.known_data_centres: dict[DataCentreId, Instant] = {}

    def clear(self) -> None:
        """Drop all reports; called when the process becomes leader."""
        self.__init__()  # type: ignore[misc]

    def expect(self, data_centres: Iterable[DataCentreId], now: Instant) -> None:
        """Start the timeout of data centres that have not reported yet.

        A leader that is elected because of a partition gets no report from the unreachable data
        centre.
        """
        for data_centre in data_centres:
            self.known_data_centres.setdefault(data_centre, after(now, FIRST_REPORT_TIMEOUT_S))

    def record_targets(
        self,
        holder: ProcessId,
        sequence: int,
        full: bool,
        targets: Iterable[ObservedTarget],
        gone: Iterable[VmId],
        now: Instant,
    ) -> ReportOutcome:
        """Apply a holder's report. A gap in the sequence means that a delta was lost."""
        expected = self.sequences.get(holder)
        has_gap = not full and (expected is None or sequence != expected + 1)
        self.sequences[holder] = sequence
        listed = set()
        has_news = False
        for target in targets:
            has_news = self._record_target(target, holder, now) or has_news
            listed.add(target.announcement.vm)
        for vm in gone:
            self._remove_target(vm, holder)
            has_news = True
        if full:
            for vm in [vm for vm, old in self.reported_targets.items() if old.holder == holder]:
                if vm not in listed:
                    del self.reported_targets[vm]
                    has_news = True
        return ReportOutcome(has_gap, has_news)

    def record_entry(self, report: EntryReport) -> None:
        """Apply the demand report of an entry process.

        A restarted process has a new id; it replaces the process with the same address.
        """
        replaced = [
            old.process
            for old in self.entries.values()
            if report.address and old.address == report.address and old.process != report.process
        ]
        for process in replaced:
            del self.entries[process]
        self.entries[report.process] = report
        # Without this, the entries of restarted processes, which have new ids, would accumulate.
        for process, old in list(self.entries.items()):
            if elapsed(old.received, report.received) > PROCESS_RETENTION_S:
                del self.entries[process]
                self.sequences.pop(process, None)
        self.known_data_centres[report.data_centre] = report.received

    def targets(self, now: Instant) -> dict[VmId, ObservedTarget]:
        """Return every known target with the age of its announcement."""
        return {
            vm: replace(reported.target, age_s=elapsed(reported.announced, now))
            for vm, reported in self.reported_targets.items()
        }

    def demand(self, now: Instant) -> dict[ServiceId, Demand]:
        """Return the demand for each service, summed over the entry processes that report."""
        total: dict[ServiceId, Demand] = {}
        for report in self.entries.values():
            if elapsed(report.received, now) > DEMAND_TIMEOUT_S:
                continue
            for service, part in report.demand.items():
                total[service] = _sum(total[service], part) if service in total else part
        return total

    def unresponsive_data_centres(self, now: Instant) -> frozenset[DataCentreId]:
        """Return the data centres without a report for longer than the timeout."""
        return frozenset(
            data_centre
            for data_centre, last_contact in self.known_data_centres.items()
            if elapsed(last_contact, now) > DATA_CENTRE_TIMEOUT_S
        )

    def in_force(self) -> dict[ProcessId, Revision]:
        """Return the revision in force at each entry process, as last reported."""
        return {process: report.in_force for process, report in self.entries.items()}

    def _record_target(self, target: ObservedTarget, holder: ProcessId, now: Instant) -> bool:
        """Record a target; return whether what decisions depend on has changed."""
        announced = after(now, -target.age_s)
        vm = target.announcement.vm
        old = self.reported_targets.get(vm)
        # After a target moves to another holder, both may report it; the later announcement counts.
        if old is not None and old.holder != holder and old.announced > announced:
            return False
        self.reported_targets[vm] = _Sighting(target, holder, announced)
        return old is None or _decision_inputs(old.target) != _decision_inputs(target)

    def _remove_target(self, vm: VmId, holder: ProcessId) -> None:
        old = self.reported_targets.get(vm)
        if old is not None and old.holder == holder:
            del self.reported_targets[vm]


def _decision_inputs(target: ObservedTarget) -> tuple[object, ...]:
    announcement = target.announcement
    return (
        target.state,
        announcement.incarnation,
        announcement.epoch,
        announcement.address,
        announcement.leaving,
        announcement.drained,
        tuple((task.task, task.token, task.phase) for task in announcement.tasks),
    )


def _sum(first: Demand, second: Demand) -> Demand:
    return Demand(
        max(first.interval_s, second.interval_s),
        first.arrived + second.arrived,
        first.admitted + second.admitted,
        first.refused + second.refused,
        first.late + second.late,
        first.queued + second.queued,
        first.slots + second.slots,
    )
