"""The demo: the main job over real sockets in one process."""
