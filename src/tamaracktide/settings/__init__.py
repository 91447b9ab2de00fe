"""Settings files: parsing, validation and JSON schemas."""
