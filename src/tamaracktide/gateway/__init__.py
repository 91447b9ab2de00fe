"""The daemon that callers reach over HTTP."""
