"""PINNED: a session sets a value inside its transaction; its statements then run with another value."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab2"))
from lab import Client, configuration, main

SERVICE = "ledger1"
DATABASE = "entries"
KEY = "key-1"


class Session:
    """A client's session that remembers the values and names that were acknowledged to it."""

    def __init__(self, lab, group, node, name, broken):
        self.client = Client(lab.record, name, node.frontend, DATABASE, KEY)
        self.group = group
        self.values = {}
        self.broken = broken

    def set(self, name, value):
        self.client.must(f"SETOPT {name} {value}")
        self.values[name] = value

    def send(self, text):
        return self.client.must(text)

    def run(self, text):
        """Sends a statement that a database runs, and compares the values there with the acknowledged ones."""
        answer = self.client.query(text)
        if answer.code == "NOSTMT":
            self.broken.append(f"{self.client.name}: {text!r} got NOSTMT though its PREPARE was acknowledged")
        for run in self.group.runs_of(answer.request):
            if run["values"] != self.values:
                self.broken.append(
                    f"{self.client.name}: {text!r} ran on connection {run['connection']} of {run['database']} with "
                    f"{run['values']}; {self.values} was acknowledged (client got {answer.result!r})")
        return answer

    def close(self):
        self.client.close()


def play(lab):
    group = lab.add_group(SERVICE)
    lab.store.put("op/config", configuration(7, {DATABASE: "primary"}, {"troupes": [KEY]}, SERVICE))
    node, = lab.start_nodes("edge-a-1")
    broken = []

    # An ordinary session of the tenant leaves a pooled connection behind.
    first = Session(lab, group, node, "first", broken)
    first.set("zone", "lima")
    first.send("PREPARE s1 FETCH q2c")
    first.run("EXECUTE s1 1a4")
    first.close()
    time.sleep(0.3)

    # Another one sets the same value: inside its transaction, or before it if TROUBLE=0.
    second = Session(lab, group, node, "second", broken)
    if not lab.trouble:
        second.set("zone", "lima")
    second.send("BEGIN")
    second.run("FETCH 1a4")
    if lab.trouble:
        second.set("zone", "lima")
    second.run("FETCH 1a4")
    second.run("PUT 1a4 paid")
    second.run("COMMIT")
    # After the transaction, the same session, no transaction open.
    second.run("FETCH 1a4")
    second.close()
    time.sleep(0.3)

    # A session that never opens a transaction meets the same pooled connection.
    third = Session(lab, group, node, "third", broken)
    third.set("zone", "lima")
    third.run("PUT 2b7 paid")
    third.close()
    time.sleep(0.3)

    # A name that was prepared before the transaction.
    fourth = Session(lab, group, node, "fourth", broken)
    fourth.set("zone", "lima")
    fourth.send("PREPARE s1 FETCH q2c")
    fourth.run("EXECUTE s1 1a4")
    fourth.close()
    time.sleep(0.3)
    fifth = Session(lab, group, node, "fifth", broken)
    fifth.send("PREPARE s9 FETCH q2c")
    if not lab.trouble:
        fifth.set("zone", "cusco")
    fifth.send("BEGIN")
    if lab.trouble:
        fifth.set("zone", "cusco")
    fifth.run("EXECUTE s9 1a4")
    fifth.close()
    return broken


main(__file__, play)
