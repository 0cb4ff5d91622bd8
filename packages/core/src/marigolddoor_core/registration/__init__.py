"""Registration of VMs: the pool of a new VM, and updates of known ones."""

from marigolddoor_core.registration.registrar import Registrar

__all__ = ["Registrar"]
