"""Tests of the generated pages of the documentation."""

import pathlib
import re

import pytest

from samphirestack_testing import alerts
from samphirestack_testing import pages
from samphirestackd import metrics

DOCS = pathlib.Path(__file__).parents[3] / 'docs'
PROMISES = 10


class TestPages:
    """Guards against documentation that differs from the code."""

    @pytest.mark.parametrize('name', pages.pages())
    def test_the_committed_page_is_what_the_generator_writes(self, name):
        # Guards against a setting or metric changed without scripts/docs.
        assert (DOCS / name).read_text() == pages.pages()[name]

    def test_each_promise_has_an_entry(self):
        # Guards against a promise that the page on alerts leaves out.
        assert len(alerts.ALERTS) == PROMISES

    def test_alerts_use_declared_metrics_and_labels(self):
        # Guards against an alert that never fires since a name is wrong.
        labels_by_name = {m.name: m.labels for m in metrics.METRICS}
        for alert in alerts.ALERTS:
            used = re.findall(
                r'(samphirestack_\w+)(?:\{(\w+)=)?', alert.expression
            )
            assert bool(used) == bool(alert.expression)
            for name, label in used:
                assert name in labels_by_name
                assert not label or label in labels_by_name[name]
