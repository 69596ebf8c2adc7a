"""The `cindersail` command."""
