"""A randomized soak: real gateways as processes, between stand-ins, under faults from outside."""
