"""The replicated state machine: its commands, results, objects and snapshots."""
