"""The rules of declarations of this version."""

from collections.abc import Mapping

from marigolddoor_core.declaration.organisation import Declaration
from marigolddoor_core.declaration.plan import Plan, plan
from marigolddoor_core.declaration.reader import read_declaration
from marigolddoor_core.ids import VmId
from marigolddoor_core.state.objects import VmRecord

__all__ = ["CurrentRules"]


class CurrentRules:
    """Reads declarations and plans changes as the state machine of this version does."""

    def read_declaration(
        self,
        organisation: Mapping[str, object],
        template: Mapping[str, object],
        organisation_file: str,
        template_file: str,
    ) -> Declaration:
        """Return the declaration.

        Raises:
          DeclarationError: with all problems.
        """
        return read_declaration(organisation, template, organisation_file, template_file)

    def plan(
        self, current: Declaration, proposed: Declaration, vms: Mapping[VmId, VmRecord]
    ) -> Plan:
        """Return the plan of a change."""
        return plan(current, proposed, vms)
