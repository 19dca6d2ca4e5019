"""Clients of the platform over HTTP."""

from samphirestackd.platform_http import agents
from samphirestackd.platform_http import store

Agents = agents.Agents
HttpObjectStore = store.HttpObjectStore
HttpTable = store.HttpTable
HttpVmList = store.HttpVmList
