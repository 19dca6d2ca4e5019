"""What entries tell each other about the fleet."""

from samphirestack import model
from samphirestack_testing import fleet_world as worlds
from samphirestackd.fleet import holder as holders
from samphirestackd.fleet import node


class LoadingHolder:
    """Stands for a holder that has not read all jobs yet."""

    def __init__(self) -> None:
        self.world = worlds.World([])
        self.scheduler = self.world.scheduler
        self.loaded = False


class TestCounts:
    """Guards against counts of waiting jobs that are too low."""

    def test_a_holder_that_is_loading_gives_no_counts(self) -> None:
        holder: holders.Holder = LoadingHolder()  # type: ignore[assignment]
        assert node.make_pong(holder, 1.0).waiting_by_queue is None

    def test_a_holder_that_has_loaded_counts_what_has_not_begun(self) -> None:
        loading = LoadingHolder()
        loading.loaded = True
        loading.world.accept(0.0, worlds.make_job(1))
        holder: holders.Holder = loading  # type: ignore[assignment]
        counts = node.make_pong(holder, 1.0).waiting_by_queue
        assert counts == {model.QueueId('q'): 1}
