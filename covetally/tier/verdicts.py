"""What a tier makes of its nodes and zones from what each member's own calls show. No I/O; times are ns.

    node      how it comes into the state                        what is told to the balancer
    ----      ---------------------------                        ----------------------------
    well      at the start; WELL words outweigh                  nothing
    accused   a member's calls fail                              nothing
    avoided   WITNESSES accuse it, more than its WELL words do   others first; a trial only to whom the turn is
              outweigh

    A verdict is a reason to try elsewhere first, never a conviction: a balancer with nowhere else to go calls an
    avoided node. At most SHARE of the nodes are avoided, those with most witnesses.

Each WELL word weighs as much as WELL_WEIGHS accusations. It is said by a member that called the node after it
heard of the accusation, so an old success contradicts nothing, and a node that is well is cleared by the calls
it gets anyhow. Members of one zone may be cut from a node that is well for all others: accusers of this member's
own zone count against the WELL words of that zone; accusers of all zones count together only if they are of two
zones or more. An accusation for one class of calls is a verdict for that class alone.

Trials: once a verdict stands, one member calls the node, then the next if that fails, after a pause that doubles.
Whose turn it is follows from the node, who tried last and who is there (rendezvous hashing): no leader.
A member whose turn it is says so; the next in order begins `HOLD_NS` later if nothing was heard of it, so a turn
passes on when its owner is gone. Nobody's TRIES counts twice in a row, so that no one member can hold all others
off. A verdict is kept by one accuser, who has the trials' failures, and ends when nobody says anything any more.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from covetally.interface import AttemptStatus
from covetally.tier.facts import LASTS_NS, Facts, Said, What, Word

MS = 1_000_000
WITNESSES = 3  # members whose accusations make a verdict
WELL_WEIGHS = 8  # accusations that one WELL word outweighs
SHARE = 0.25  # of the nodes, which may be avoided at a time
ZONES = 0.5  # of the nodes, which may stand in zones that are avoided
POINTS = 2  # own failures in a row that are an accusation; one, where no connection comes up
RECENT_NS = 2_000 * MS  # own failures further apart than this are not in a row
SPREAD_NS = 40 * MS  # words of the same are said at times this far apart at most, so that the first ones do
HOLD_NS = 400 * MS  # a trial's turn
PAUSE_NS = 1_000 * MS  # before the first trial, then doubled
SWEEP_NS = 1_000 * MS  # how often all verdicts are judged anew: words age
MOST_PAUSE_NS = 4_000 * MS  # so that a verdict outlives it: see LASTS_NS
ALL = -1  # in a verdict: every class


class Judged(NamedTuple):
    """What is told to the balancer of one node: avoid it for this class, or all of them."""

    server: str
    cls: int


class Advice(NamedTuple):
    """All verdicts in force. `turns` are the nodes whose trial is this member's; `back` those whose process is
    new, and since how many ns."""

    avoid: tuple[Judged, ...] = ()
    zones: tuple[int, ...] = ()
    turns: tuple[str, ...] = ()
    back: tuple[tuple[str, int], ...] = ()


class Row(NamedTuple):
    """What operators see of one subject."""

    subject: str
    cls: int
    avoided: bool
    witnesses: tuple[int, ...]
    well: tuple[int, ...]
    age_ns: int
    trial_of: int
    next_trial_ns: int


@dataclass(slots=True)
class _Own:
    """This member's own calls to one subject of late."""

    points: int = 0
    ended: bool = False
    last: int = 0


@dataclass(slots=True)
class _Verdict:
    """A node that is avoided."""

    tried: int  # when the last trial began, or the verdict
    pause: int = PAUSE_NS
    number: int = 0
    tried_by: int = -1
    turn: bool = False
    next: int = 0  # when this member would make the next trial


@dataclass(slots=True)
class _Due:
    """A word to be said soon."""

    at: int
    word: Word


Subject = tuple[What, int, int]


@dataclass(slots=True)
class _Nodes:
    """The list of nodes, and their names by mark."""

    names: dict[int, str] = field(default_factory=dict)
    zones: dict[str, int] = field(default_factory=dict)


class Verdicts:
    """One member's verdicts. `random` gives numbers from 0 to 1; `serving` the members that are there."""

    def __init__(
        self, facts: Facts, zones: tuple[str, ...], random: Callable[[], float], serving: Callable[[], list[int]]
    ) -> None:
        self.facts, self.me, self.zone = facts, facts.me, facts.zone
        self._zone_marks = {crc32(name.encode()): i for i, name in enumerate(zones)}
        self._marks = {i: mark for mark, i in self._zone_marks.items()}
        self._random, self._serving = random, serving
        self._nodes = _Nodes()
        self._own: dict[tuple[str, int], _Own] = {}  # by node and class
        self._silent: dict[int, dict[str, int]] = {}  # by zone: nodes that did not answer since one there did
        self._spoke: dict[int, int] = {}  # by zone: when a call was last sent that was answered
        self._verdicts: dict[tuple[int, int], _Verdict] = {}  # by mark and class
        self._due: dict[Subject, _Due] = {}
        self._back: dict[str, int] = {}
        self._ended: dict[int, int] = {}  # by mark: when a verdict last said that its process is not there
        self._touched: set[int] = set()  # marks of nodes of which something new was said
        self._sweep_at = 0
        self._advice = Advice()
        self.trials = self.made = 0  # counters

    # --- events ---------------------------------------------------------------------------------

    def listed(self, nodes: dict[str, int]) -> None:
        """The list of nodes, with the zone of each."""
        self._nodes = _Nodes({crc32(name.encode()): name for name in nodes}, dict(nodes))
        self._own = {key: own for key, own in self._own.items() if key[0] in nodes}
        self._verdicts = {key: v for key, v in self._verdicts.items() if key[0] in self._nodes.names}
        self._ended = {mark: at for mark, at in self._ended.items() if mark in self._nodes.names}
        self._silent = {
            zone: {name: at for name, at in silent.items() if name in nodes}
            for zone, silent in self._silent.items()
        }

    def outcome(self, now: int, server: str, how: AttemptStatus, cls: int, sent: int) -> None:
        """How one of this member's own calls ended that was sent then."""
        zone = self._nodes.zones.get(server)
        if zone is None or how in (AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT):
            return
        mark = crc32(server.encode())
        for (of, _), verdict in self._verdicts.items():
            if of == mark and sent >= verdict.tried:
                verdict.turn = False  # one call each
                self._touched.add(mark)
        if how in (AttemptStatus.OK, AttemptStatus.FULL, AttemptStatus.ERROR, AttemptStatus.UNUSABLE_RESPONSE):
            self._answered(now, server, mark, zone, cls, sent, how)
        if how is AttemptStatus.OK or how is AttemptStatus.FULL:
            return
        if how in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED):
            self._unanswered(now, server, zone, sent)
        if how in (AttemptStatus.TIMEOUT, AttemptStatus.RESET):
            # A queue shows as the first, a link as the second, and what all are told to leave alone is capacity
            # that all need: measured, see docs/design/tier.md.
            return
        if how is AttemptStatus.CONNECT_FAILED:
            self._failed(now, server, mark, ALL, True)
        else:
            self._failed(now, server, mark, cls, False)

    def _answered(
        self, now: int, server: str, mark: int, zone: int, cls: int, sent: int, how: AttemptStatus
    ) -> None:
        self._spoke[zone] = max(self._spoke.get(zone, 0), sent)
        self._silent.pop(zone, None)
        self._contradict(now, What.ZONE, self._marks.get(zone, 0), 0, sent)
        for about in (ALL, cls) if how in (AttemptStatus.OK, AttemptStatus.FULL) else (ALL,):
            own = self._own.pop((server, about), None)
            self._contradict(now, What.NODE, mark, about + 1, sent)
            if about == ALL and own is not None and own.ended and own.points:
                self._is_back(now, server, mark)

    def _is_back(self, now: int, server: str, mark: int) -> None:
        """Its process was not there for this member and is now: it is a new one."""
        self._back[server] = now
        self.facts.say(now, What.BACK, mark, Word.WELL)
        self._due[What.BACK, mark, 0] = _Due(now, Word.WELL)

    def _unanswered(self, now: int, server: str, zone: int, sent: int) -> None:
        silent = self._silent.setdefault(zone, {})
        if sent > self._spoke.get(zone, 0):
            silent[server] = sent
        for name in [name for name, at in silent.items() if now - at > 2 * RECENT_NS]:
            del silent[name]
        first = min(silent.values(), default=now)
        if len(silent) >= POINTS and any(at > first for other, at in self._spoke.items() if other != zone):
            self._say_soon(now, What.ZONE, self._marks.get(zone, 0), 0, Word.FAILS)

    def _failed(self, now: int, server: str, mark: int, cls: int, ended: bool) -> None:
        own = self._own.setdefault((server, cls), _Own())
        if now - own.last > RECENT_NS:
            own.points, own.ended = 0, False
        own.points, own.last, own.ended = own.points + 1, now, own.ended or ended
        accused = any(s.fact.word and s.fact.detail == cls + 1 for s in self.facts.about(now, What.NODE, mark))
        if own.points >= POINTS or ended or accused:
            self._say_soon(now, What.NODE, mark, cls + 1, Word.ENDED if own.ended else Word.FAILS)

    def heard(self, said: list[Said]) -> None:
        """What others have said anew."""
        self._touched.update(s.fact.subject for s in said)

    # --- what is said ---------------------------------------------------------------------------

    def _contradict(self, now: int, what: What, mark: int, detail: int, sent: int) -> None:
        """A call was answered. If it was sent after the accusations of the subject were known, that says so."""
        due = self._due.get((what, mark, detail))
        if due is not None and due.word:
            del self._due[what, mark, detail]
        fails, well = self._words(now, what, mark, detail)
        mine = self._mine(fails, well)
        if mine is not None and mine.fact.word or mine is None and any(s.at < sent for s in fails):
            self._say_soon(now, what, mark, detail, Word.WELL)

    def _say_soon(self, now: int, what: What, mark: int, detail: int, word: Word) -> None:
        subject = (what, mark, detail)
        if subject in self._due and self._due[subject].word is word:
            return
        mine = self._mine(*self._words(now, what, mark, detail))
        if mine is not None and mine.fact.word is word and now - mine.at < LASTS_NS // 2:
            return
        self._due[subject] = _Due(now + int(self._random() * SPREAD_NS), word)

    def due(self) -> int | None:
        """When `tick` wants to be called next; None while nothing is open."""
        times = [due.at for due in self._due.values()]
        times += [v.tried + HOLD_NS if v.turn else v.next for v in self._verdicts.values()]
        if self._verdicts or self._advice != Advice():
            times.append(self._sweep_at)
        return min(times, default=None)

    def tick(self, now: int) -> bool:
        """Time has passed, or words were heard: judge anew. Whether something is to be told to all at once."""
        told = False
        for subject, due in list(self._due.items()):
            if now < due.at:
                continue
            del self._due[subject]
            what, mark, detail = subject
            if what is What.BACK:
                told = True
            elif not self._is_said(now, subject, due.word):
                self.facts.say(now, what, mark, due.word, detail)
                self._touched.add(mark)
                told = True
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_NS
            self._touched.update(self.facts.subjects(What.NODE), (mark for mark, _ in self._verdicts))
        if self._touched:
            self._judge(now)
        for key, verdict in self._verdicts.items():
            if verdict.turn and now - verdict.tried >= HOLD_NS:
                verdict.turn = False
            if not verdict.turn and now >= verdict.next:
                self._begin(now, key, verdict, self.me)
                verdict.turn = True
                self.trials += 1
                self.facts.say(now, What.TRIES, key[0], Word.WELL, key[1] + 1)
                told = True
        self._advice = self._make_advice(now)
        return told

    def _is_said(self, now: int, subject: Subject, word: Word) -> bool:
        """Whether enough others have said the same, so that one more word would change nothing."""
        what, mark, detail = subject
        fails, well = self._words(now, what, mark, detail)
        if self._mine(fails, well) is not None:
            return False  # it takes back what it said
        if word:
            return len(fails) >= 2 * WITNESSES and self._holds(fails, well)
        return bool(well) and not self._holds(fails, well)

    # --- judgement ------------------------------------------------------------------------------

    def _words(self, now: int, what: What, mark: int, detail: int) -> tuple[list[Said], list[Said]]:
        words = [s for s in self.facts.about(now, what, mark) if s.fact.detail == detail]
        return [s for s in words if s.fact.word], [s for s in words if not s.fact.word]

    def _mine(self, fails: list[Said], well: list[Said]) -> Said | None:
        return next((s for s in (*fails, *well) if s.owner == self.me), None)

    def _near(self, words: list[Said]) -> int:
        """How many of them are of this member's zone."""
        return sum(s.fact.zone == self.zone for s in words)

    def _holds(self, fails: list[Said], well: list[Said]) -> bool:
        """Whether accusations make a verdict for this member."""
        near = self._near(fails)
        if near >= WITNESSES and near > WELL_WEIGHS * self._near(well):
            return True
        zones = {s.fact.zone for s in fails}
        return len(zones) > 1 and len(fails) >= WITNESSES and len(fails) > WELL_WEIGHS * len(well)

    def _judge(self, now: int) -> None:
        touched, self._touched = self._touched, set()
        found: set[tuple[int, int]] = set()
        for mark in touched:
            if mark in self._nodes.names:
                found |= self._judge_node(now, mark)
                self._hear_trials(now, mark)
                self._hear_back(now, mark)
        self._verdicts = {key: v for key, v in self._verdicts.items() if key[0] not in touched or key in found}
        most = int(SHARE * len(self._nodes.names))
        if len({mark for mark, _ in self._verdicts}) > most:
            weight = {key: len(self._words(now, What.NODE, key[0], key[1] + 1)[0]) for key in self._verdicts}
            order = sorted(self._verdicts, key=lambda key: (-weight[key], key))
            kept = set(list(dict.fromkeys(mark for mark, _ in order))[:most])
            self._verdicts = {key: v for key, v in self._verdicts.items() if key[0] in kept}

    def _judge_node(self, now: int, mark: int) -> set[tuple[int, int]]:
        """The verdicts that stand on one node."""
        found = set()
        for detail in {s.fact.detail for s in self.facts.about(now, What.NODE, mark)}:
            fails, well = self._words(now, What.NODE, mark, detail)
            key = (mark, detail - 1)
            verdict = self._verdicts.get(key)
            stands = verdict is not None and bool(fails) and len(fails) > WELL_WEIGHS * len(well)
            if not stands and not self._holds(fails, well):
                continue
            found.add(key)
            if verdict is None:
                verdict = self._verdicts[key] = _Verdict(now)
                verdict.next = self._next_trial(key, verdict)
                self.made += 1
            if any(s.fact.word is Word.ENDED for s in fails):
                self._ended[mark] = now
            if verdict.pause != HOLD_NS and any(s.at >= verdict.tried for s in well):
                verdict.pause = HOLD_NS  # the trial went well: the next one shall soon say the same
                verdict.next = self._next_trial(key, verdict)
        return found

    def _hear_trials(self, now: int, mark: int) -> None:
        for said in self.facts.about(now, What.TRIES, mark):
            verdict = self._verdicts.get((mark, said.fact.detail - 1))
            if verdict is not None and said.at > verdict.tried and said.owner not in (verdict.tried_by, self.me):
                self._begin(said.at, (mark, said.fact.detail - 1), verdict, said.owner)

    def _hear_back(self, now: int, mark: int) -> None:
        """One member's word that a node is new is believed where that node was gone by the verdict of many."""
        name = self._nodes.names[mark]
        ended = now - self._ended.get(mark, -LASTS_NS) < LASTS_NS
        for said in self.facts.about(now, What.BACK, mark):
            if ended and said.owner != self.me and said.at > self._back.get(name, 0) + RECENT_NS:
                self._back[name] = said.at

    def _begin(self, at: int, key: tuple[int, int], verdict: _Verdict, owner: int) -> None:
        verdict.tried, verdict.tried_by, verdict.turn = at, owner, False
        verdict.number += 1
        if verdict.number > 1:
            verdict.pause = min(2 * verdict.pause, MOST_PAUSE_NS)
        verdict.next = self._next_trial(key, verdict)

    def _next_trial(self, key: tuple[int, int], verdict: _Verdict) -> int:
        """When this member would make the next trial, if nobody before it in the order does."""
        serving = self._serving()
        mine = self._weight(key, verdict, self.me)
        rank = sum(1 for n in serving if n not in (self.me, verdict.tried_by)
                   and self._weight(key, verdict, n) > mine)  # fmt: skip
        if verdict.tried_by == self.me:
            rank = len(serving)
        return verdict.tried + verdict.pause + rank * HOLD_NS

    def _weight(self, key: tuple[int, int], verdict: _Verdict, member: int) -> int:
        return crc32(f"{key[0]}/{key[1]}/{verdict.tried_by}/{member}".encode())

    # --- what comes of it -----------------------------------------------------------------------

    def advice(self) -> Advice:
        """All verdicts in force, as of the last `tick`."""
        return self._advice

    def _make_advice(self, now: int) -> Advice:
        if not self.facts.any and not self._back:
            return Advice()
        names = self._nodes.names
        avoid = sorted((names[mark], cls) for mark, cls in self._verdicts)
        turns = {names[mark] for (mark, _), v in self._verdicts.items() if v.turn}
        zones = []
        for mark, zone in sorted(self._zone_marks.items()):
            fails, well = self._words(now, What.ZONE, mark, 0)
            near = self._near(fails)
            if near >= WITNESSES - 1 and near > WELL_WEIGHS * self._near(well):
                zones.append(zone)
        held = sum(1 for zone in self._nodes.zones.values() if zone in zones)
        if held > ZONES * len(self._nodes.zones):
            zones = []
        listed = self._nodes.zones
        self._back = {n: at for n, at in self._back.items() if now - at < LASTS_NS and n in listed}
        back = tuple((name, now - at) for name, at in sorted(self._back.items()))
        return Advice(tuple(Judged(*pair) for pair in avoid), tuple(zones), tuple(sorted(turns)), back)

    def rows(self, now: int) -> list[Row]:
        """What is said of nodes and zones, for operators."""
        rows = []
        for what, names in ((What.NODE, self._nodes.names), (What.ZONE, self._zone_marks)):
            for mark in self.facts.subjects(what):
                for detail in sorted({s.fact.detail for s in self.facts.about(now, what, mark)}):
                    fails, well = self._words(now, what, mark, detail)
                    verdict = self._verdicts.get((mark, detail - 1)) if what is What.NODE else None
                    name = str(names.get(mark, f"{mark:08x}"))
                    rows.append(Row(
                        name if what is What.NODE else f"zone {name}",
                        detail - 1, verdict is not None,
                        tuple(sorted(s.owner for s in fails)), tuple(sorted(s.owner for s in well)),
                        now - min(s.at for s in (*fails, *well)),
                        verdict.tried_by if verdict else -1,
                        max(0, verdict.next - now) if verdict else 0,
                    ))  # fmt: skip
        return rows
