"""Simulations in virtual time: the real decision modules with a modelled environment, without any I/O."""
