"""Settings files: types, checks and JSON schemas."""
