"""Limit of log lines about inputs that fail again and again."""

from samphirestack.internal import log_limits


class TestLogLimiter:
    """Guards against one malformed input that floods the log."""

    def test_a_subject_is_logged_once_in_a_window(self) -> None:
        limiter = log_limits.LogLimiter()
        assert limiter.admit(0.0, 'bad_row', 'w1') == 0
        assert limiter.admit(1.0, 'bad_row', 'w1') is None
        assert limiter.admit(1.0, 'bad_row', 'w2') == 0
        assert limiter.admit(1.0, 'bad_job', 'w1') == 0
        assert limiter.admit(log_limits.WINDOW_S, 'bad_row', 'w1') == 1

    def test_many_subjects_are_limited_as_well(self) -> None:
        limiter = log_limits.LogLimiter()
        admitted = [
            limiter.admit(0.0, 'bad_row', f'w{number}')
            for number in range(1000)
        ]
        assert admitted.count(0) == log_limits.MAX_SUBJECTS
        assert limiter.admit(log_limits.WINDOW_S, 'bad_row', 'w0') == 1000 - (
            log_limits.MAX_SUBJECTS
        )
