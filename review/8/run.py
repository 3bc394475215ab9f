"""UNASKED: a key moves to another tenant, and the statements of an open transaction go on in the former one's name."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab2"))
from lab import BOUNDS, Client, configuration, main

SERVICE = "ledger1"
DATABASE = "entries"
PAUSE_S = 1.0
STATEMENTS = 8


def play(lab):
    group = lab.add_group(SERVICE)
    before = {"troupes": ["key-1", "key-2"], "jurors": ["key-3"]}
    after = {"troupes": ["key-1"], "jurors": ["key-3", "key-2"]}
    lab.store.put("op/config", configuration(7, {DATABASE: "primary"}, before, SERVICE))
    node, = lab.start_nodes("edge-a-1")
    time.sleep(BOUNDS["connectedMs"] / 1000 + 1)  # the machine is in touch

    client = Client(lab.record, "client", node.frontend, DATABASE, "key-2")
    client.must("BEGIN")
    client.must("FETCH 1a4")
    lab.store.put("op/config", configuration(9, {DATABASE: "primary"}, after if lab.trouble else before, SERVICE))
    acknowledged = time.monotonic()
    lab.record.write("operator", f"version 9 acknowledged, key-2 belongs to {'jurors' if lab.trouble else 'troupes'}")

    broken = []
    holder = "jurors" if lab.trouble else "troupes"
    texts = [f"PUT 1a4 value{index}" for index in range(STATEMENTS)] + ["COMMIT"]
    for text in texts:
        time.sleep(PAUSE_S)
        sent = time.monotonic() - acknowledged
        answer = client.query(text)
        for run in group.runs_of(answer.request):
            if sent > BOUNDS["configApplyMs"] / 1000 and run["tenant"] != holder:
                broken.append(f"{text!r} was sent {sent:.2f} s after the acknowledgement and ran in the name of "
                              f"{run['tenant']}; its key is held by {holder} (client got {answer.result!r})")
        if not answer.ok:
            break

    # A new session shows that the node knows the new holder.
    other = Client(lab.record, "new session", node.frontend, DATABASE, "key-2")
    check = other.must("FETCH 1a4")
    lab.record.write("check", f"a new session with key-2 runs for {group.runs_of(check.request)[-1]['tenant']}")
    return broken


main(__file__, play)
