"""Guards against a rollout order that the controllers do not know.

The orders of the operator are on the users' page about rollouts, "New on the wire".
"""

import json

from bramblewood.controller.command_decoding import decode


def test_order_of_a_rollout_is_known_to_the_controllers():
    order = {"Target": "huvo11a", "TargetVersion": "v2", "DurationS": 12}
    decoded = decode("POST", "/bramblewood/rollouts", json.dumps(order).encode())
    assert decoded.is_ok(), decoded
