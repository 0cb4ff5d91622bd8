"""Events of all processes in one order."""
