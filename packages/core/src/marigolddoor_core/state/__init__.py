"""The agreed state: commands, results and objects."""
