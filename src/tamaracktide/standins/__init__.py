"""Small HTTP servers that stand in for systems outside the product."""
