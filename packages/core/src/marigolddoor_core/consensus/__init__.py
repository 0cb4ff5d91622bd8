"""Agreement of the replicas on one log of commands."""
