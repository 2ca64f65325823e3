"""Weights that an agent stages beside its engine, which loads them itself.

This is the way on platforms whose engines keep a staging area and take one
order to load what lies there.
"""
