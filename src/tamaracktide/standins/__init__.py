"""Small HTTP servers that stand in for external systems in tests and demos."""
