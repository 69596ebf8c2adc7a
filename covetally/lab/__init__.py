"""This project's decisions in virtual time: models round the real decision modules. Never a shell."""
