"""Slopes of memory, processor time, bytes and calls against sizes."""
