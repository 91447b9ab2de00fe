"""The inner protocol between the project's own processes."""
