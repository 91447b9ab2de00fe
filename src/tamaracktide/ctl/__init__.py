"""The `tamaracktidectl` command-line tool for operators."""
