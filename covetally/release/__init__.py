"""Whether a change is to blame for what is seen while it goes out. No I/O."""

from covetally.release.health import Answers, Health, Verdict, clustering, judge

__all__ = ["Answers", "Health", "Verdict", "clustering", "judge"]
