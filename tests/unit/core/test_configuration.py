"""Tests of the published configuration."""

import pytest

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model


def _base() -> configuration.Configuration:
    changes: list[configuration.Change] = [
        configuration.PutProfile(
            configuration.Profile(model.ProfileId('urgent'))
        ),
        configuration.PutService(
            configuration.Service(
                model.ServiceId('fermeture'), model.ProfileId('urgent')
            )
        ),
        configuration.PutQueue(
            configuration.Queue(
                model.QueueId('notices'), model.ServiceId('fermeture')
            )
        ),
        configuration.PutTeam(configuration.Team(model.TeamId('gritting'))),
    ]
    return configuration.apply(
        configuration.Configuration(), changes, author='t', wall_time_s=0.0
    )


class TestApply:
    """Changes produce a valid next revision or are rejected as a whole."""

    def test_revision_grows_by_one(self) -> None:
        assert _base().revision == 1

    def test_profile_in_use_is_not_retired(self) -> None:
        """Guards against a service whose profile does not exist."""
        base = _base()
        change = configuration.RetireProfile(model.ProfileId('urgent'))
        with pytest.raises(errors.InUse, match=r'fermeture.*would not exist'):
            configuration.apply(base, [change], author='t', wall_time_s=0.0)
        assert 'urgent' in base.profiles_by_id

    def test_unknown_name_is_reported(self) -> None:
        change = configuration.RetireQueue(model.QueueId('nothing'))
        with pytest.raises(errors.NotFound, match='nothing'):
            configuration.apply(_base(), [change], author='t', wall_time_s=0.0)

    def test_retired_team_loses_its_keys(self) -> None:
        """Guards against a key that outlives its team."""
        key, text = configuration.new_key(model.TeamId('gritting'))
        base = configuration.apply(
            _base(),
            [configuration.PutKey(key)],
            author='t',
            wall_time_s=0.0,
        )
        assert base.verify_key(text) == 'gritting'
        without = configuration.apply(
            base,
            [configuration.RetireTeam(model.TeamId('gritting'))],
            author='t',
            wall_time_s=0.0,
        )
        assert without.verify_key(text) is None


class TestVerifyKey:
    """Only the exact secret of a known key authenticates a team."""

    @pytest.mark.parametrize(
        'presented', ['', '.', 'k', 'unknown.secret', 'k0.', '.secret']
    )
    def test_malformed_keys_are_rejected(self, presented: str) -> None:
        assert _base().verify_key(presented) is None

    def test_secret_of_another_key_is_rejected(self) -> None:
        first, first_text = configuration.new_key(model.TeamId('gritting'))
        second, second_text = configuration.new_key(model.TeamId('gritting'))
        base = configuration.apply(
            _base(),
            [configuration.PutKey(first), configuration.PutKey(second)],
            author='t',
            wall_time_s=0.0,
        )
        crossed = f'{first.key_id}.{second_text.partition(".")[2]}'
        assert base.verify_key(crossed) is None
        assert base.verify_key(first_text) == 'gritting'
