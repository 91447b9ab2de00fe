"""Entry instance: gateway and scheduler in one process.

It forwards requests without parsing their bodies. Platform-specific names are
confined to implementations of `tamaracktide.entry.adapter.Adapter`.
"""
