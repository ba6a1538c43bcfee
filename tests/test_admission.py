"""What is refused at once, and with which failure."""

import pytest
from pyrsistent import pmap

from lentilwell import Identity, Request, State, reduce
from lentilwell._effects import EndRequest, StartAttempt
from lentilwell._errors import PromptTooLong, UnknownModel
from lentilwell._events import InventoryAccepted, RequestArrived
from lentilwell._inventory import Engine, Inventory, Model, Team

MEMORY = 400_000
ANY_ENGINE = Team("t", 1, ())


def make_state(centres=("a", "a", "b"), teams=(ANY_ENGINE,), **engine):
    specs = {"memory_tokens": MEMORY, "slots": 8, **engine}
    engines = {
        f"engine-{n}": Engine(f"engine-{n}", "http://127.0.0.1", centre, ("m",), **specs)
        for n, centre in enumerate(centres)
    }
    inventory = Inventory(
        1,
        pmap(engines),
        models=pmap({"m": Model("m", 2_000_000)}),
        teams=pmap({team.name: team for team in teams}),
    )
    return reduce(State(Identity("i", "1", "a")), InventoryAccepted(0, inventory))[0]


def make_request(name, prompt_tokens=1_000, at=1, deadline_at=600_000, team="t", model="m"):
    return Request(name, team, model, prompt_tokens, 10, at, deadline_at)


TOO_LONG = [
    ((), 2 * MEMORY - 10, None),
    ((), 2 * MEMORY - 9, PromptTooLong(2 * MEMORY)),
    (("engine-0", "engine-2"), MEMORY - 10, None),
    (("engine-0", "engine-2"), MEMORY, PromptTooLong(MEMORY)),
    (("engine-9",), 1, UnknownModel()),
]


@pytest.mark.parametrize("allowed, tokens, refusal", TOO_LONG)
def test_prompt_above_the_engines_of_any_one_data_centre_is_refused_at_once(
    allowed, tokens, refusal
):
    state = make_state(teams=(Team("t", 1, (), allowed),))
    state, (effect,) = reduce(state, RequestArrived(1, make_request("r", tokens)))
    if refusal is None:
        assert isinstance(effect, StartAttempt)
    else:
        assert effect == EndRequest("r", refusal)
        assert not state.waiting and not state.timers
