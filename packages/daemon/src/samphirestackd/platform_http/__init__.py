"""HTTP clients of the platform's services and of the worker agents."""

from samphirestackd.platform_http import agents
from samphirestackd.platform_http import store

Agents = agents.Agents
HttpObjectStore = store.HttpObjectStore
HttpTable = store.HttpTable
HttpVmList = store.HttpVmList
