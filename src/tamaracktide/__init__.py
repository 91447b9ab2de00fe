"""A serving layer that answers requests through very many LoRA adapters."""
