"""Load generator and answer checker."""
