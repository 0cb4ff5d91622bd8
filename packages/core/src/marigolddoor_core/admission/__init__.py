"""Which requests are admitted, how they queue, and which are refused early."""
