"""Simulation of engines, entries and callers.

The entries run the product's own decision modules; everything else is a
model. The simulation uses no sockets, processes or real clock.
"""
