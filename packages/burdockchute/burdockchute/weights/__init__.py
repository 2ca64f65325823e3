"""Manifests and copies of weights, and the client of the weight store."""

from __future__ import annotations
