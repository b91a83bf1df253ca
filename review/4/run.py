import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-2"))
from fleet import BROKEN, HELD, CannotRun, Client, Fleet, TROUBLE, configuration, route, run  # noqa: E402

TOPICS = ["reading.%d" % i for i in range(24)]
RECOVERY_S = 15
DARK_S, NEXT_S, WIPED_S = 2.8, 2.2, 2.0  # node_kill and after_ack_wipe of the site, on two store machines


def play(record):
    fleet = Fleet(record, core=5, storage=4, losses=2, zones=["a", "b", "c", "d"],
                  guarantees={"contactms": 5000, "acklimitms": 6000, "syncs": 6, "applyms": 4000,
                              "recoverys": RECOVERY_S, "drainms": 4000})
    try:
        return play_on(fleet, record)
    finally:
        fleet.stop(keep=os.environ.get("KEEP") == "1")


def play_on(fleet, record):
    fleet.start()
    routes = [route("reading", "reading.", "retained"), route("alert", "alert.", "transient", timeout=1200)]
    if not fleet.order("PUT", "configuration", configuration(1, routes), limit=30):
        raise CannotRun("the configuration is not taken")
    fleet.wait_ready()
    time.sleep(8)
    subscriber, sender = Client(fleet, "subscriber"), Client(fleet, "sender")
    cursors = {}
    for topic in TOPICS:
        answer = subscriber.subscribe(topic)
        if not answer or answer[0] != "success":
            raise CannotRun("subscribe %s: %s" % (topic, answer))
        cursors[topic] = answer[3]
    subscriber.close()  # goes away by its own will and comes back with its cursors

    first, second = fleet.of("storage")[:2], fleet.of("storage")[2:]
    began = time.monotonic()
    if TROUBLE:
        record("two storage machines lose power: %s" % ", ".join(m.name for m in first))
        for machine in first:
            machine.kill()
    time.sleep(1.2)
    accepted = {}
    number = 0
    while time.monotonic() < began + NEXT_S:
        for topic in TOPICS:
            number += 1
            answer = sender.publish(topic, number, ("message %d " % number).ljust(60, "x"), limit=1)
            if answer and answer[0] == "accepted":
                accepted.setdefault(topic, set()).add(number)
            time.sleep(0.01)
            if time.monotonic() > began + NEXT_S:
                break
    total = sum(len(numbers) for numbers in accepted.values())
    record("%d messages were accepted" % total)
    if total < 24:
        raise CannotRun("only %d messages were accepted" % total)
    if TROUBLE:
        record("two storage machines lose their disks: %s" % ", ".join(m.name for m in second))
        for machine in second:
            machine.kill()
        for machine in second:
            machine.wipe()
    time.sleep(max(0, began + DARK_S - time.monotonic()))
    if TROUBLE:
        for machine in first:
            machine.start()
        record("back, with their disks: %s" % ", ".join(m.name for m in first))
    time.sleep(max(0, began + NEXT_S + WIPED_S - time.monotonic()))
    if TROUBLE:
        for machine in second:
            machine.start()
        record("back, with empty disks: %s" % ", ".join(m.name for m in second))
    time.sleep(RECOVERY_S + 1)

    # The client takes up its saved places. A subscribe without an answer is sent again on a new connection.
    got, end = {}, time.monotonic() + 12
    refused = set()
    while time.monotonic() < end and any(accepted[t] - got.get(t, set()) for t in accepted):
        try:
            subscriber = Client(fleet, "subscriber")
        except ConnectionError:
            time.sleep(0.5)
            continue
        for topic in TOPICS:
            subscriber.send("subscribe %s %s" % (topic, cursors[topic]))
        time.sleep(3)
        for answer in subscriber.answers:
            if answer[:2] == ["rejected", "subscribe"] and answer[4] == "expired":
                refused.add(answer[2])
        for _, topic, cursor, _, delivered, _ in subscriber.deliveries:
            got.setdefault(topic, set()).add(delivered)
            cursors[topic] = cursor
        subscriber.close()
    missing = {t: sorted(accepted[t] - got.get(t, set())) for t in accepted if accepted[t] - got.get(t, set())}
    lost = sum(len(numbers) for numbers in missing.values())
    for topic, numbers in missing.items():
        record("LOST: %s: accepted and not delivered: %s%s" %
               (topic, " ".join(map(str, numbers)), ", the client was told expired" if topic in refused else ""))
    print("%d of %d accepted messages are lost" % (lost, total))
    record("%d of %d accepted messages are lost" % (lost, total))
    return BROKEN if lost or refused else HELD


run(HERE, play)
