"""Stand-ins, builders of test data and benches; not shipped."""

from __future__ import annotations
