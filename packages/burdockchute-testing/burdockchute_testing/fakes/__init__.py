"""Fakes of the product's interfaces for tests of single components."""

from __future__ import annotations
