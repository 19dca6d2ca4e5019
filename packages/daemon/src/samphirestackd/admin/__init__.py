"""The operators' HTTP interface."""

from samphirestackd.admin import app
from samphirestackd.admin import parts
from samphirestackd.admin import token

Parts = parts.Parts
create_app = app.create_app
read_token = token.read_token
