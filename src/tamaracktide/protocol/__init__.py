"""The inner protocol between processes of a deployment."""
