"""The callers' HTTP interface."""

from samphirestackd.edge import app
from samphirestackd.edge import server

create_app = app.create_app
server_config = server.server_config
