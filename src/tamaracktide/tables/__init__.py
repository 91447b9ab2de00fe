"""Clients that follow, edit and validate the routes and pools tables."""
