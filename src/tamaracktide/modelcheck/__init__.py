"""Small specifications of the core protocol and their check by z3."""
