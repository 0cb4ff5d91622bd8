"""Modifications of a state machine that remove one guard."""

from dataclasses import replace
from typing import Any

from marigolddoor_core.ids import LogIndex
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.results import ClaimGranted

__all__ = ["grant_without_claim", "keep_epoch"]


def keep_epoch(machine: StateMachine) -> None:
    """Remove the new epoch at each change of a VM's pool."""
    part: Any = machine._vms
    put = part._put

    def keep(vm: Any) -> None:
        known = part.vms.get(vm.vm)
        put(vm if known is None else replace(vm, epoch=known.epoch))

    part._put = keep


def grant_without_claim(machine: StateMachine) -> None:
    """Remove the refusal of a key that another process has claimed."""
    part: Any = machine._claims
    claim = part.claim

    def grant(command: Any, now_s: float, index: LogIndex) -> Any:
        result = claim(command, now_s, index)
        return ClaimGranted(result.claim) if hasattr(result, "claimant") else result

    part.claim = grant
