"""Manifests, copies and their spread between agents."""

from __future__ import annotations
