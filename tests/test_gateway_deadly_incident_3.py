"""A request that ends every upstream that runs it, before 3 instances."""

import pytest

from tests.deadly_checks import CASES, check_incident
from tests.gateway_scripts import in_loop


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
@in_loop
async def test_deadly_request_reaches_few_more_servers_and_sound_ones_are_served(case):
    await check_incident(3, case)
