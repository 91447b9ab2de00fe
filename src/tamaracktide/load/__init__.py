"""Load generator and response checker."""
