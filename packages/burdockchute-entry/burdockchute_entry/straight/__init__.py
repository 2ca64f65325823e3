"""Requests that an entry sends to upstreams itself, with no agent between.

This is the way on platforms whose upstreams say themselves what they did not
run, and refuse what was meant for another instance or another version.
"""
