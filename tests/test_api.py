"""Property-based test that the admin API answers anything with a typed answer."""

import asyncio
import json
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflylock.administration import Administration
from fireflylock.api import Api
from fireflylock.auth import Authority
from fireflylock.clock import FakeClock
from fireflylock.exceptions import ErrorKind
from fireflylock.metrics import Metrics
from fireflylock.model import Configuration
from fireflylock.sheet import read_sheet
from tests.fakenode import FakeNode
from tests.test_admin import SHEET

WORDS = [
    "mesa-1",
    "entrada-1",
    "draining",
    "nothing",
    "12345678",
    SHEET,
    "kind,name\nvm,x\n",
    "\0",
]
VALUES = st.sampled_from(WORDS) | st.text(max_size=5) | st.integers(-1, 9) | st.none()
MEMBERS = ["sheet", "name", "state", "reason", "change_id", "author", "expected_version", "level"]
BODIES = st.dictionaries(st.sampled_from(MEMBERS), VALUES).map(lambda body: json.dumps(body))
PATHS = [
    "status",
    "services",
    "services/mesa-pedidos",
    "services/%00/owner?key=x",
    "services/mesa-pedidos/owner",
    "services/mesa-pedidos/load?x=1",
    "sheet",
    "sheet/check",
    "sheet/apply",
    "in-force?version=9999999999999999999999",
    "states",
    "gone",
    "state?vm=x",
    "log-level",
    "history",
    "../../etc",
]
KINDS = {kind.value for kind in ErrorKind}


@settings(max_examples=300)
@given(
    st.sampled_from(["GET", "POST", "PUT", "HEAD", "BREW"]),
    st.sampled_from(PATHS).map(lambda path: f"/v1/{path}") | st.text(max_size=20),
    BODIES.map(str.encode) | st.binary(max_size=50),
)
def test_anything_gets_a_typed_answer(method, target, body):
    node = FakeNode(replace(read_sheet(SHEET, Configuration()), version=7))
    api = Api(Administration(node, FakeClock()), Authority(), Metrics())
    answer = asyncio.run(api.answer(method, target, "", body))
    assert answer.status not in (500, 501)
    if answer.status != 200 and not target.startswith("/readyz"):
        assert json.loads(answer.body)["error"] in KINDS - {"internal"}
