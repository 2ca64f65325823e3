"""The direct path: an entry sends requests to upstreams without an agent.

It is used on platforms whose upstreams report themselves which requests they
did not run, and reject requests meant for another instance or version.
"""
