"""Entry instance: gateway and scheduler in one process.

It forwards requests without parsing their bodies. Names of the platform that
it runs on occur only in implementations of
`tamaracktide.entry.platform_adapter.PlatformAdapter`.
"""
