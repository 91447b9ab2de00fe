"""A serving layer for inference with a large number of LoRA adapters."""
