"""Status codes of HTTP, as every client of this project takes them."""

INTERIM = range(100, 200)
"""Codes of responses that announce another one."""

FINAL = range(200, 600)
"""Codes of responses that no other response follows. Bytes with any other code
are no response."""
