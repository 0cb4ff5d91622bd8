"""The control process: replica, manager and the listener of operators."""
