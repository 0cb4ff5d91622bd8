"""Files of a replica: its log and its snapshots."""
