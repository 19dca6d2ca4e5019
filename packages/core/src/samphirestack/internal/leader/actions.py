"""Calls to worker agents that the task scheduler requests."""

import msgspec

from samphirestack import model
from samphirestack import platform


class StartTask(msgspec.Struct, frozen=True):
    """Start one attempt of a task."""

    worker_id: model.WorkerId
    task: platform.TaskStart


class StopTask(msgspec.Struct, frozen=True):
    """Stop a task immediately, without a checkpoint."""

    worker_id: model.WorkerId
    task_id: model.TaskId


class CheckpointTask(msgspec.Struct, frozen=True):
    """Save the progress of a task and stop it."""

    worker_id: model.WorkerId
    task_id: model.TaskId


class ThrottleTask(msgspec.Struct, frozen=True):
    """Limit a task to a percentage of its processors; 100 means no limit."""

    worker_id: model.WorkerId
    task_id: model.TaskId
    percent: int


Action = StartTask | StopTask | CheckpointTask | ThrottleTask
