"""Several instances and engines under faults: what the brief says must always hold."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.fleet import CENTRES, HOMES, MEMORY, Fleet

NAMES = st.sampled_from(sorted(HOMES))
ENGINES = st.sampled_from(sorted(CENTRES))
PROMPTS = st.sampled_from((10, 800, 20_000, 40_000, 90_000, MEMORY, 150_000, 240_000))


class FleetUnderFaults(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1 << 20), noise=st.sampled_from((0.0, 0.1, 0.4)))
    def start(self, seed, noise):
        self.fleet = Fleet(seed, noise)

    @rule(
        names=st.lists(NAMES, min_size=1, max_size=6),
        prompt=PROMPTS,
        team=st.sampled_from(("open", "bound")),
        within=st.sampled_from((3_000, 15_000)),
    )
    def arrive(self, names, prompt, team, within):
        for name in names:
            self.fleet.arrive(name, prompt, answer=20, team=team, within=within)

    @rule(ms=st.sampled_from((50, 300, 1_500, 6_000)))
    def advance(self, ms):
        self.fleet.advance(ms)

    @rule(name=ENGINES, silent=st.booleans())
    def kill_engine(self, name, silent):
        self.fleet.kill_engine(name, silent)

    @rule(name=ENGINES)
    def start_engine(self, name):
        self.fleet.start_engine(name)

    @rule(name=ENGINES)
    def leave(self, name):
        self.fleet.leave(name)

    @rule(name=NAMES)
    def kill_instance(self, name):
        self.fleet.kill_instance(name)

    @rule(name=NAMES)
    def replace_instance(self, name):
        self.fleet.kill_instance(name)
        self.fleet.boot(name)

    @rule(name=NAMES)
    def pause(self, name):
        self.fleet.pause(name)

    @rule(name=NAMES)
    def wake(self, name):
        self.fleet.wake(name)

    @rule(cut=st.booleans())
    def partition(self, cut):
        self.fleet.partition(cut)

    @rule(lose=st.booleans())
    def lose_cancels(self, lose):
        self.fleet.lose_cancels = lose

    @rule(allowed=st.lists(ENGINES, min_size=1, max_size=3, unique=True))
    def change_teams(self, allowed):
        self.fleet.change_teams(tuple(allowed))

    def teardown(self):
        if hasattr(self, "fleet"):
            self.fleet.settle()


FleetUnderFaults.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=20,
    suppress_health_check=list(HealthCheck),
)
TestFleetUnderFaults = FleetUnderFaults.TestCase
