"""Stand-ins for the systems round marigolddoor: targets, the platform and callers."""
