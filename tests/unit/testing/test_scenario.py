"""Tests of the check of scenarios."""

import pathlib
import tomllib

import pytest

from samphirestack_testing import scenario


def _data(deployment: str = 'armor') -> dict[str, object]:
    directory = pathlib.Path(scenario.__file__).parent / 'scenarios'
    return tomllib.loads((directory / f'{deployment}.toml').read_text())


class TestScenario:
    """A mistake is named with its key, value and expectation."""

    @pytest.mark.parametrize('deployment', scenario.DEPLOYMENTS)
    def test_deployments_have_the_sizes_of_the_page(
        self, deployment: str
    ) -> None:
        """Guards against figures measured at another size."""
        built = scenario.builtin(deployment)
        assert sum(zone.workers for zone in built.zones) == 24
        assert sum(zone.upstreams for zone in built.zones) == 24
        assert {zone.entries for zone in built.zones} <= {2, 3}
        assert len(built.teams) == 6

    @pytest.mark.parametrize(
        ('section', 'key', 'value', 'named', 'expected'),
        [
            ('teams', 'share', 0.0, 'teams[0].share', 'greater than 0'),
            ('teams', 'shares', 1.0, 'teams[0]', 'unknown field'),
            ('queues', 'profile', 'x', 'queues[0].profile', 'notice'),
            ('arrivals', 'team', 'x', 'arrivals[0].team', 'coast'),
            ('jobs', 'kind', 'swarm', 'jobs[0].kind', 'swarm'),
            ('zones', 'entries', 0, 'zones[0].entries', 'greater than 0'),
        ],
    )
    def test_wrong_value_is_named(
        self, section: str, key: str, value: object, named: str, expected: str
    ) -> None:
        data = _data()
        tables = data[section]
        assert isinstance(tables, list)
        tables[0][key] = value
        with pytest.raises(scenario.ScenarioError) as caught:
            scenario.from_data('f.toml', data)
        assert caught.value.key == named
        assert 'f.toml' in str(caught.value)
        assert expected in caught.value.expected

    @pytest.mark.parametrize(
        ('fault', 'named'),
        [
            ({'kind': 'cut_zone', 'target': 'mene'}, 'network.proxied'),
            ({'kind': 'kill_leader', 'target': 'x'}, 'faults[0].target'),
            ({'kind': 'table_down', 'until_s': 0.5}, 'faults[0].until_s'),
        ],
    )
    def test_impossible_fault_is_named(
        self, fault: dict[str, object], named: str
    ) -> None:
        """Guards against a fault that would silently never happen."""
        data = _data()
        data['faults'] = [{'at_s': 1.0, **fault}]
        with pytest.raises(scenario.ScenarioError) as caught:
            scenario.from_data('f.toml', data)
        assert caught.value.key == named
