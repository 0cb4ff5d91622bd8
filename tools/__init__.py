"""Tools of developers."""
