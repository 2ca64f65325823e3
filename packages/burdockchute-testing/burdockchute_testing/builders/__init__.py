"""Builders of test data."""

from __future__ import annotations
