"""Tests of the daemon's settings."""

import pytest

from samphirestack import errors
from samphirestack import settings


def _data() -> dict[str, object]:
    return {
        'node': {'vm_id': 'arree-1', 'zone': 'arree'},
        'listen': {
            'callers': '127.0.0.1:8000',
            'operators': '127.0.0.1:8001',
            'peers': '127.0.0.1:8002',
        },
        'platform': {
            'table_url': 'http://127.0.0.1:9000',
            'objects_url': 'http://127.0.0.1:9000',
            'vms_url': 'http://127.0.0.1:9000',
        },
        'security': {'operator_token_file': 'token'},
    }


class TestFromData:
    """Errors name the wrong setting, its value and the allowed values."""

    def test_minimal_settings_are_accepted(self) -> None:
        loaded = settings.from_data('f.toml', _data())
        assert loaded.vm_id == 'arree-1'

    @pytest.mark.parametrize(
        ('content', 'expected'),
        [
            (
                {'vm_id': 'a', 'zone': 'z', 'x': 1},
                'without the unknown key `x`',
            ),
            ({'vm_id': 'a'}, 'with the key `zone`'),
            ({'vm_id': 'a', 'zone': 1}, '`str`'),
        ],
    )
    def test_message_is_a_readable_sentence(
        self, content: dict[str, object], expected: str
    ) -> None:
        # Guards against raw messages of msgspec in errors for operators.
        with pytest.raises(errors.SettingsError) as caught:
            settings.from_data('f.toml', _data() | {'node': content})
        assert str(caught.value).endswith(f', but must be {expected}')

    @pytest.mark.parametrize(
        ('section', 'key', 'value', 'named'),
        [
            ('node', 'zonne', 'x', 'node'),
            ('timing', 'heartbeat_s', -1.0, 'timing.heartbeat_s'),
            ('timing', 'heartbeat_s', 'soon', 'timing.heartbeat_s'),
            ('timing', 'leader_renew_s', 1.4, 'timing.leader_renew_s'),
            ('log', 'level', 'loud', 'log.level'),
            ('listen', 'peers', '10.0.0.1:1', 'cluster.public_key'),
            ('listen', 'callers', 'localhost', 'listen.callers'),
        ],
    )
    def test_wrong_value_is_named(
        self, section: str, key: str, value: object, named: str
    ) -> None:
        data = _data()
        content = dict(data.get(section, {}))  # type: ignore[call-overload]
        content[key] = value
        data[section] = content
        with pytest.raises(errors.SettingsError) as caught:
            settings.from_data('f.toml', data)
        assert caught.value.key == named
        assert 'f.toml' in str(caught.value)
