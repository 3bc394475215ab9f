"""A planned replacement of a primary while one write to the store is done late; see claim.txt."""

import asyncio
import base64
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import Writers, play  # noqa: E402

WRITERS = 16
LATE_S = 3.0
DEAF_AFTER_S = 2.5
DEAF_S = 6.0
NEW_DATABASES = ["i-3d", "i-7f", "i-2c", "i-b4", "i-51"]


async def scenario(site, record, trouble):
    await site.start(["edge-a", "edge-b"], work_s=0.003, one_way_s=0.002, slots=5)
    for database in site.group.databases.values():
        database.one_way_s = 0.0005 if database.zone == "lima-a" else 0.012
    site.configure(7, [{"name": "t0", "apiKeys": ["key-t0"], "priority": 1, "ratePerS": 400, "burst": 400}])
    await site.await_ready()
    await asyncio.sleep(4)
    writers = Writers(site, record, WRITERS)
    await asyncio.sleep(3)

    affected = []

    def deafen(name):
        """One replica receives nothing for a while. The leader isn't a replica; it goes on."""
        database = site.group.databases.get(name)
        if database and not database.leads():
            database.deaf_until = time.monotonic() + DEAF_S
            record.write(f"replica {name} receives nothing for {DEAF_S} s")

    def late(body):
        """The first write of an intent in a window of 4.5 s isn't answered and is done late."""
        keys = [put["key"] for put in body.get("puts", [])]
        record.write(f"store: write of {keys}")
        in_window = asyncio.get_running_loop().time() < site.window_until
        if trouble and in_window and not affected and any(key.startswith("duty/order/") for key in keys):
            affected.append(keys)
            record.write(f"store: this write isn't answered and is done {LATE_S} s later")
            target = base64.b64decode(body["puts"][0]["value"]).decode().split(" ")[0]
            asyncio.get_running_loop().call_later(DEAF_AFTER_S, deafen, target)
            return LATE_S
        return None

    site.window_until = 0
    site.store.late = late
    for name in NEW_DATABASES:
        # A planned replacement: the new database starts first, then the primary reports that it drains.
        old = site.group.primary
        if old is None:
            await asyncio.sleep(1)
            continue
        await site.add_database(name, old.zone, work_s=0.003, one_way_s=old.one_way_s, slots=5)
        await asyncio.sleep(1.5)
        affected.clear()
        site.window_until = asyncio.get_running_loop().time() + 4.5
        old.draining = True
        old.announce()
        record.write(f"{old.id} reports that it is draining")
        await asyncio.sleep(8)
        if site.group.primary is not old:
            old.end()
    return await writers.lost()


play(pathlib.Path(__file__).resolve().parent, scenario)
