"""Engines, entries and callers in a time of their own.

The entries decide by the product's own modules; everything else is a model.
No sockets, no processes, and no clock but the one of the run.
"""
