"""How a VM that announces itself for the first time gets its pool."""

from marigolddoor_core.registration.registrar import Registrar

__all__ = ["Registrar"]
