import json
import os
import sys
import threading
import time

sys.dont_write_bytecode = True

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import fleet as stand

TOPICS = [f"cdr.{number}" for number in range(8)]
ROUTES = [stand.route("cdr", "cdr.")]


def publish(client, number):
    """Sends one message once; returns the answer, or None."""
    return client.publish(TOPICS[number % len(TOPICS)], number, f"message-{number:06d}".ljust(40, "."))


def keep_publishing(fleet, record, end, answers):
    """Publishes until `end`, each time a new number, and returns after a cut or a refused attach, like a client."""
    number = 100
    while time.monotonic() < end:
        number += 1
        try:
            client = stand.Client(record, fleet.client_address("access-1"), "writer")
            if not client.attach():
                answers.append(None)
                client.close()
                time.sleep(0.5)
                continue
            while time.monotonic() < end:
                answers.append(publish(client, number))
                number += 1
                time.sleep(0.2)
            client.close()
        except (stand.Closed, OSError) as error:
            answers.append(None)
            record(f"writer: {error!r}")
            time.sleep(0.5)


def read_back(fleet, end):
    """The operator reads the configuration again and again until `end`; returns the last revision read, or None."""
    held = None
    while time.monotonic() < end:
        status, text = fleet.order("GET", "configuration", limit=2.0)
        if status == 200:
            held = json.loads(text)["revision"]
        time.sleep(0.5)
    return held


def main(record, make_fleet):
    fleet = make_fleet()
    fleet.start()
    if not fleet.configure(1, ROUTES) or not fleet.until_ready():
        raise RuntimeError("the fleet did not become ready")
    time.sleep(3.0)
    writer = stand.Client(record, fleet.client_address("access-1"), "writer")
    if not writer.attach() or not all(publish(writer, number) == "accepted" for number in range(1, 17)):
        raise RuntimeError("nothing is served before the disruption")
    writer.close()
    if stand.trouble():
        # A core machine is replaced as planned: its successor first, then, when that one has had syncs (4 s), SIGTERM.
        fleet.add_control()
        time.sleep(4.5)
        fleet.remove_control("core-1")
        time.sleep(0.3)
    if not fleet.configure(2, [*ROUTES, stand.route("new", "new.")]):
        raise RuntimeError("the second configuration was not acknowledged")
    if stand.trouble():
        # Right after the acknowledgement one core machine loses its disk; it is back after a second.
        lost = fleet.processes["control", "core-2"]
        lost.kill()
        fleet.wipe("core-2")
        time.sleep(1.0)
        fleet.write_settings("core-2", bootstrap=False)
        lost.start()
    back = time.monotonic()
    time.sleep(fleet.guarantees["recoverys"])
    record("recoverys is over")
    end = time.monotonic() + 12.0
    answers = []
    publisher = threading.Thread(target=keep_publishing, args=(fleet, record, end, answers))
    publisher.start()
    held = read_back(fleet, end)
    publisher.join()
    served = answers.count("accepted")
    record(f"{time.monotonic() - back:.1f} s after all are back: configuration read: {held}; "
           f"accepted: {served} of {len(answers)} sent more than recoverys after the return")
    for role, node in fleet.processes:
        for line in fleet.processes[role, node].log_text().splitlines():
            if role == "control" and any(word in line for word in ("voter", "became leader", "stepping down")):
                record(f"log of {node}: {line}")
    return held == 2 and served * 4 >= len(answers)


stand.run(main, HERE)
