"""Distribution of advice calls over entries."""

from samphirestackd.fleet import advice_callers


def make_pool(count: int, term: int = 1) -> advice_callers.AdviceCallerPool:
    pool = advice_callers.AdviceCallerPool(term)
    for number in range(count):
        pool.add(str(number).encode())
    return pool


class TestBacklog:
    """Guards against a backlog that remains after its calls have ended."""

    def test_calls_go_to_the_entry_with_the_smallest_backlog(self) -> None:
        pool = make_pool(3)
        for _ in range(3):
            assert pool.reserve(True, 0.1)
        assert {caller.identity for _, caller in pool.reserved_calls} == {
            b'0', b'1', b'2',
        }  # fmt: skip

    def test_an_entry_without_calls_has_no_backlog(self) -> None:
        pool = make_pool(1)
        for expected_s in (0.1, 0.2, 0.7):
            pool.callers_by_identity[b'0'].begin(0, expected_s)
            pool.callers_by_identity[b'0'].end(0)
        assert pool.callers_by_identity[b'0'].backlog_s == 0.0

    def test_a_released_call_frees_its_entry(self) -> None:
        pool = make_pool(2)
        assert pool.reserve(False, 1.0)
        assert not pool.reserve(False, 1.0)
        number, _ = pool.reserved_calls[0]
        pool.release(number)
        assert pool.reserve(False, 1.0)

    def test_a_call_of_a_lost_entry_can_end(self) -> None:
        pool = make_pool(1)
        assert pool.reserve(True, 0.1)
        number, _ = pool.reserved_calls[0]
        pool.remove(b'0')
        pool.release(number)
        pool.release(number)


class TestTerms:
    """Guards against replies that were meant for an earlier holder."""

    def test_no_call_has_the_number_of_an_earlier_terms_call(self) -> None:
        numbers = []
        for term in (1, 2):
            pool = make_pool(3, term)
            for _ in range(3):
                assert pool.reserve(True, 0.1)
            numbers.extend(number for number, _ in pool.reserved_calls)
        assert len(set(numbers)) == len(numbers)
