"""The control process: a replica, the manager and the listener for operators."""
