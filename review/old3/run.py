import os
import sys
import time

sys.dont_write_bytecode = True

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import fleet as stand

TOPIC = "flood.sava.7"


def main(record, make_fleet):
    fleet = make_fleet()
    fleet.start()
    wide = stand.route("alerts", "flood.", kind="transient")
    if not fleet.configure(1, [wide, stand.route("readings", "station.")]) or not fleet.until_ready():
        raise RuntimeError("the fleet did not become ready")
    time.sleep(3.0)
    reader = stand.Client(record, fleet.client_address("access-1"), "reader")
    writer = stand.Client(record, fleet.client_address("access-1"), "writer")
    if not reader.attach() or not writer.attach():
        raise RuntimeError("no client could attach")
    answer = reader.subscribe(TOPIC)
    if not answer or answer[0] != "SUCCESS":
        raise RuntimeError(f"subscribe: {answer}")
    cursor = answer[3] if len(answer) > 3 else ""
    if writer.publish(TOPIC, 1, "message-1".ljust(40, ".")) != "ACCEPTED":
        raise RuntimeError("the first message was not accepted")
    first = reader.wait(lambda f: f[0] == "DELIVER" and f[4] == "1", 2)
    if not first:
        raise RuntimeError("the first message was not delivered")
    cursor = first[0][2]
    # One change: a route is added. Of the prefixes that begin the topic, the longest wins.
    if stand.trouble():
        sava = stand.route("sava", "flood.sava.")
        if not fleet.configure(2, [wide, sava, stand.route("readings", "station.")]):
            raise RuntimeError("the second configuration was not acknowledged")
    time.sleep(0.5)
    accepted = []
    for number in (2, 3, 4):
        if writer.publish(TOPIC, number, f"message-{number}".ljust(40, ".")) == "ACCEPTED":
            accepted.append(number)
    # If the system has closed the client's connection, it returns within ResumeWindowS (2 s) with its cursor.
    time.sleep(0.7)
    got, expired, end = {1}, False, time.monotonic() + 10
    while time.monotonic() < end and not expired and not got.issuperset(accepted):
        try:
            if not reader.open:
                reader = stand.Client(record, fleet.client_address("access-1"), "reader")
                if not reader.attach():
                    raise stand.Closed("attach")
                answer = reader.subscribe(TOPIC, cursor)
                expired = bool(answer) and answer[-1] == "EXPIRED"
            with reader.changed:
                for fields, body in reader.lines:
                    if fields[0] == "DELIVER":
                        got.add(int(fields[4]))
                        cursor = fields[2]
        except (stand.Closed, OSError) as error:
            record(f"reader: {error!r}")
        time.sleep(0.2)
    missing = [number for number in accepted if number not in got]
    record(f"accepted: {accepted}; told EXPIRED: {expired}; accepted and not received: {missing}")
    return not expired and not missing


stand.run(main, HERE)
