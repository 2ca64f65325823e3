"""Staging of weights for an engine that loads them itself.

Used on platforms whose engines have a staging area and load its content on a
single order.
"""
