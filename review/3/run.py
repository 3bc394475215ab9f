"""Databases carry out some orders late during a planned replacement; see claim.txt."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import Writers, play  # noqa: E402

WRITERS = 16
WINDOW_S = 6.0  # in which orders may be late
LATE_FROM_S, LATE_TO_S = 2.0, 12.0


class LateOrders:
    """Leaves some orders of a window unanswered and carries them out 2 to 12 s later, less than a third of them."""

    def __init__(self, site, record):
        self.site, self.record, self.until, self.orders, self.late = site, record, 0.0, 0, 0
        self.refused, self.resume, self.resumed_at = None, None, 0.0

    def begin(self):
        self.until = time.monotonic() + WINDOW_S
        replicas = sorted(name for name, database in self.site.group.databases.items() if not database.leads())
        self.refused, self.slow_to_resume = replicas[1], replicas[0]

    def order(self, database, words):
        if time.monotonic() > self.until or words[0] == "STATUS":
            return None
        self.orders += 1
        ripe = self.resume and time.monotonic() >= self.resumed_at + LATE_FROM_S
        if words[0] == "PAUSE" and database.id == self.refused and not ripe:
            return self.later(9.0)
        if words[0] == "UNPAUSE" and database.id == self.slow_to_resume and not self.resume:
            self.late += 1
            self.resumed_at = time.monotonic()
            return self.keep
        if words[0] == "STEPDOWN" and ripe:
            return self.later(9.0)
        return None

    def later(self, seconds):
        self.late += 1
        return lambda action: asyncio.get_running_loop().call_later(seconds, action)

    def keep(self, action):
        self.resume = action

    def asked(self, target):
        """The late order to receive is carried out now, 2 to 12 s after it was sent."""
        if self.resume and target != self.slow_to_resume:
            after = time.monotonic() - self.resumed_at
            if LATE_FROM_S <= after <= LATE_TO_S:
                self.record.write(f"{self.slow_to_resume} carries out UNPAUSE, {after:.1f} s late")
                self.resume()
                self.resume = None


async def scenario(site, record, trouble):
    await site.start(["edge-a", "edge-b"], work_s=0.003, one_way_s=0.002, slots=5)
    for database in site.group.databases.values():
        database.one_way_s = 0.0005 if database.zone == "lima-a" else 0.012
    site.configure(7, [{"name": "t0", "apiKeys": ["key-t0"], "priority": 1, "ratePerS": 400, "burst": 400}])
    await site.await_ready()
    await asyncio.sleep(4)
    writers = Writers(site, record, WRITERS)
    await asyncio.sleep(3)
    for name in ("i-3d", "i-7f", "i-2c"):
        # A planned replacement: the new database starts first, then the primary reports that it drains.
        old = site.group.primary
        await site.add_database(name, old.zone, work_s=0.003, one_way_s=old.one_way_s, slots=5)
        await asyncio.sleep(1.5)
        orders = LateOrders(site, record)
        if trouble:
            site.group.late_order, site.cloud.on_asked = orders.order, orders.asked
            orders.begin()
        old.draining = True
        old.announce()
        record.write(f"{old.id} reports that it is draining")
        await asyncio.sleep(14)
        record.write(f"{orders.late} of {orders.orders} orders were late")
        if site.group.primary is not old:
            old.end()
    return await writers.lost()


play(pathlib.Path(__file__).resolve().parent, scenario)
