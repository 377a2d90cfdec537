"""Adapter to the users' platform; only this package knows its names."""
