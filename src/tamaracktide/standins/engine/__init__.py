"""Stand-in model engine with continuous batching and adapter slots."""
