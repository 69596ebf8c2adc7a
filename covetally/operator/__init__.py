"""The operator settings file: its schema, its validation, and which settings can change at run time."""
