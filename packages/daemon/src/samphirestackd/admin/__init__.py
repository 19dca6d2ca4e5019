"""HTTP API for operators."""

from samphirestackd.admin import app
from samphirestackd.admin import dependencies
from samphirestackd.admin import token

Dependencies = dependencies.Dependencies
create_app = app.create_app
read_token = token.read_token
