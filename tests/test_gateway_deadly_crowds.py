"""Deadly requests that cut several sound ones at each end of an upstream are told from them."""

import pytest

from standins.deadly_load import Case
from tests.deadly_checks import CONTACT_MS, check_refusals, check_rule
from tests.deadly_requests import INCIDENT_S, run_group
from tests.gateway_scripts import in_loop


@pytest.mark.parametrize("kind", ["whole", "once"])
@pytest.mark.parametrize("instances", [3, 12])
@in_loop
async def test_sound_requests_that_deadly_ones_cut_again_and_again_are_not_refused(instances, kind):
    async with run_group(instances, Case(kind, one_path=True, crowded=True)) as group:
        await group.run_incident(INCIDENT_S, CONTACT_MS)
        await check_rule(group)
        assert sum(crash.cut for crash in group.record.crashes) >= 6
        await check_refusals(group)
