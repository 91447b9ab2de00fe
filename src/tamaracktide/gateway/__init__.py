"""The daemon that serves clients over HTTP."""
