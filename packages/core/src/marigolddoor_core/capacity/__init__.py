"""How much each pool needs, what the spare pool lends, and which VMs move."""
