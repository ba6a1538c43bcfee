"""A part of prompts that crashes engines is kept from them, and the other prompts are served."""

import asyncio

import pytest

from tests.crashing_engines import HARMFUL, run_group
from tests.gateway_scripts import in_loop

CALM_S = 1.5
INCIDENT_S = 9.0
# Half of the users' time, since the instances of the tests are close to each other.
CONTACT_MS = 1_500
MAX_LATE_SENDS = 3
MIN_SERVED = 0.5
OTHER_PART = "aaa0"
FIRST = (HARMFUL, OTHER_PART)
MIDDLE = (OTHER_PART, HARMFUL)


@pytest.mark.parametrize("parts", [FIRST, MIDDLE], ids=["first", "middle"])
@pytest.mark.parametrize("instances", [3, 12])
@in_loop
async def test_part_that_crashes_engines_reaches_few_more_and_others_are_served(instances, parts):
    async with run_group(instances) as group:
        sound = asyncio.create_task(group.press(CALM_S + INCIDENT_S, 12.0, OTHER_PART))
        await asyncio.sleep(CALM_S)
        await group.press(INCIDENT_S, 4.0, *parts)
        await sound
        fleet = group.fleet
        begin = fleet.find_fifth_crash() or fleet.crashes[-1]
        late = fleet.count_late_sends(CONTACT_MS)
        served = group.find_served_share(begin + 2 * CONTACT_MS, OTHER_PART)
        seen = f"{late} late sends, {served:.2f} of the others served, {len(fleet.crashes)} ends"
        print(seen)
        assert late <= MAX_LATE_SENDS and served >= MIN_SERVED, seen
