"""A Eureka registry as a source of nodes (Netflix Eureka v2 REST operations, as its server implements them)."""
