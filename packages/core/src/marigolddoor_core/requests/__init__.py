"""The contract with callers: what a request says and how it can end."""
