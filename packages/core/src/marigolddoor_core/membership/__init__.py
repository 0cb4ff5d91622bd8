"""Which targets exist, which are suspected and which have gone."""
