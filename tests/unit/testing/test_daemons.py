"""Tests of the files that a test cluster writes for its users."""

import os
import pathlib
import subprocess

from samphirestack import model
from samphirestack_client import settings as client_settings
from samphirestack_testing import daemons


class TestClientFiles:
    """Guards against a cluster that only its own tests can reach."""

    def test_a_shell_that_sources_the_file_reaches_all_entries(
        self, tmp_path: pathlib.Path
    ) -> None:
        # Guards against a relative path, or one with a space in it, that
        # only works where the cluster was started.
        directory = tmp_path / 'a demo'
        directory.mkdir()
        (directory / daemons.TOKEN_FILE).write_text(daemons.OPERATOR_TOKEN)
        entries = {
            model.VmId(f'e{number}'): daemons.Addresses(
                f'127.0.0.1:{number}1',
                f'127.0.0.1:{number}2',
                f'127.0.0.1:{number}3',
                f'127.0.0.1:{number}3',
            )
            for number in (1, 2)
        }
        relative = os.path.relpath(directory)
        daemons.write_client_files(pathlib.Path(relative), entries)
        script = '. "$0" && printf "%s\\n%s" "$CALLERS" "$FILE"'.replace(
            'FILE', client_settings.CONFIG_VARIABLE
        )
        shell_file = str(directory / daemons.ENVIRONMENT_FILE)
        shown = subprocess.check_output(
            ['/bin/sh', '-c', script, shell_file], cwd='/', text=True
        )
        callers, client_file = shown.splitlines()
        assert callers == 'http://127.0.0.1:11'
        found = client_settings.load(
            (), '', None, {client_settings.CONFIG_VARIABLE: client_file}
        )
        assert found.addresses == ('127.0.0.1:12', '127.0.0.1:22')
        assert found.token == daemons.OPERATOR_TOKEN
