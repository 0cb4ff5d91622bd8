"""Which task runs on which worker."""
