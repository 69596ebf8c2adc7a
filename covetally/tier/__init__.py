"""What the sidecars of a tier know and hold together. Nothing of it runs yet: see docs/design/tier.md."""
