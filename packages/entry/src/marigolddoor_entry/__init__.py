"""The entry process: serves callers and targets over HTTP."""
