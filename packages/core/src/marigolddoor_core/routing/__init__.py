"""Which target serves a request, when to retry and whom to avoid."""
