"""Reading, checking and editing the routes and pools tables."""
