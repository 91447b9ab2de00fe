"""Stand-in inference engine with continuous batching and adapter slots."""
