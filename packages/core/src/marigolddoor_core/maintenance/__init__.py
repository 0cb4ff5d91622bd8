"""Waves that take VMs out of service within the availability budgets."""
