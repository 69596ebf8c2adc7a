"""The agent: the desired state of many sidecars, rollouts, supervision, and the API for operators."""
