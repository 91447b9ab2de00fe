"""Stand-ins of the review's scripts; the standard library alone is used."""
