"""Property-based test that the admin API answers anything with a typed answer."""

import asyncio
import json
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflylock.administration import Administration
from fireflylock.api import Api
from fireflylock.auth import TokenAuthenticator
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
QUESTIONS = """status services services/mesa-pedidos services/%00/owner?key=x
    services/mesa-pedidos/owner services/mesa-pedidos/owner?key=%ff services/x/load?x=1 sheet
    in-force?version=99999999999999999999 in-force?version=7 state?vm=x log-level history ../etc"""
CHANGES = "sheet/check sheet/apply states gone log-level"
KNOWN = [("GET", path) for path in QUESTIONS.split()]
KNOWN += [("POST", path) for path in CHANGES.split()] * 2 + [("PUT", "log-level")]
TARGETS = st.sampled_from(KNOWN).map(lambda known: (known[0], f"/v1/{known[1]}"))
STRANGE = st.tuples(st.sampled_from(["GET", "PUT", "BREW"]), st.text(max_size=20))
KINDS = {kind.value for kind in ErrorKind}


@settings(max_examples=300)
@given(TARGETS | STRANGE, BODIES.map(str.encode) | st.binary(max_size=50))
def test_anything_gets_a_typed_answer(target, body):
    node = FakeNode(replace(read_sheet(SHEET, Configuration()), version=7))
    api = Api(Administration(node, FakeClock()), TokenAuthenticator(), Metrics())
    answer = asyncio.run(api.answer(*target, "", body))
    assert answer.status not in (500, 501)
    if answer.status != 200 and target[1] != "/readyz":
        assert json.loads(answer.body)["error"] in KINDS - {"internal"}
