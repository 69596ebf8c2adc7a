"""The sources of the list of nodes, and the view that decides which of their changes to apply."""
