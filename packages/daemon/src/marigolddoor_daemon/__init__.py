"""The daemon: settings, logging and the roles of a process."""
