#!/usr/bin/env python3
"""Ledger of lost worth: what the requests that were not in time lost it to.

Reads the lines "A request ended." in logs of entries, daisyledge-log(7). For
each period and kind of request it prints how many ended, how many of these were
in time, and what the others lost it to:

  asking    waiting for a dispatcher, or for the version in force
  queue     in the dispatcher's queue
  engine    the first event came later than the forecast
  tries     at endpoints that were tried before
  pause     a pause of the stream was too long
  refused:R not executed, for the reason R
  closing   the VM was stopping
  failed    executed, or perhaps, and ended without a complete response
  forecast  late for none of these: the forecast itself was beyond the target

A late request counts for the part that took most of its time, as in
"daisyledge explain".
"""
import argparse
import collections
import datetime
import re
import sys

ENDED, STARTED, STOPPING = "A request ended.", "Started.", "Stopping."
# Seconds and the name of the VM, which may be missing, then the log line.
LINE = re.compile(r"(?:\s*(\d+(?:\.\d+)?)\s+(\S+)\s+)?"
                  r"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(?:\.\d+)?)Z\s+[A-Z]+\s+"
                  r"(\w+): (.*)")
FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
KINDS = ["short", "medium", "long", "plain"]
SHORT_TOKENS = 24000
MEDIUM_TOKENS = 120000


def number(fields, key, default=0):
    """The value of a field, or default if it is missing or no number."""
    try:
        return int(fields.get(key, default))
    except ValueError:
        return default


def kind_of(fields):
    """The kind of a request; one without a prompt that is no stream is plain."""
    prompt = number(fields, "prompt")
    if prompt == 0 and number(fields, "gap_ms") == 0:
        return "plain"
    if prompt <= SHORT_TOKENS:
        return "short"
    return "medium" if prompt <= MEDIUM_TOKENS else "long"


def late_part(fields):
    """What a served request lost its time to; None if it was in time."""
    gap, target = number(fields, "gap_ms"), number(fields, "target_ms")
    first, granted = number(fields, "first_ms", -1), number(fields, "granted_ms", -1)
    took = first if first >= 0 and gap > 0 else number(fields, "ms")
    paused = gap > 0 and number(fields, "pause_ms") > gap
    if target == 0 or took <= target:
        return "pause" if paused else None
    asking = number(fields, "asking_ms") + number(fields, "unsure_ms")
    parts = {"asking": asking, "queue": number(fields, "queued_ms")}
    waited = sum(parts.values())
    if number(fields, "tries") > 1:
        parts["tries"] = granted - waited
    if granted >= 0:
        parts["engine"] = took - granted - number(fields, "predicted_ms")
    if paused:
        parts["pause"] = number(fields, "pause_ms")
    part = max(parts, key=parts.get)
    return part if parts[part] > 0 else "forecast"


def lost_to(fields, stopping):
    """What a request lost its worth to; None if it was in time."""
    if fields.get("outcome") == "done":
        lost = late_part(fields)
    elif fields.get("outcome") == "not-run" and \
            fields.get("reason", "none") != "none":
        lost = "refused:" + fields["reason"]
    else:
        lost = "failed"
    return "closing" if lost and stopping else lost


def read(lines):
    """Yields the second, the kind and the loss of each request."""
    stopping = set()  # names of VMs; None where the lines have no name
    for line in lines:
        if not any(text in line for text in (ENDED, STARTED, STOPPING)):
            continue
        match = LINE.match(line)
        if not match:
            continue
        seconds, name, time, part, text = match.groups()
        if text.startswith(STOPPING) and part == "entry":
            stopping.add(name)
        elif text.startswith(STARTED) and part == "entry":
            stopping.discard(name)
        elif text.startswith(ENDED):
            fields = dict(FIELD.findall(text))
            at = float(seconds) if seconds else datetime.datetime.fromisoformat(
                time + "+00:00").timestamp()
            yield at, kind_of(fields), lost_to(fields, name in stopping)


def print_row(label, kind, losses):
    """Prints one line of the ledger."""
    lost = " ".join(f"{what}={n}" for what, n in losses.most_common() if what)
    print(f"{label:>10} {kind:<7} {sum(losses.values()):>7} "
          f"{losses[None]:>7}  {lost}".rstrip())


def main():
    parser = argparse.ArgumentParser(description="What late requests lost.")
    parser.add_argument("log", nargs="+", help="log of entries; - is stdin")
    parser.add_argument("--period", type=float, default=10, help="seconds")
    options = parser.parse_args()
    if options.period <= 0:
        parser.error("the period must be more than 0")
    rows = []
    for path in options.log:
        with sys.stdin if path == "-" else \
                open(path, encoding="utf-8", errors="replace") as log:
            rows += read(log)
    start = min((row[0] for row in rows), default=0)
    periods = collections.defaultdict(collections.Counter)
    total = collections.defaultdict(collections.Counter)
    for at, kind, lost in rows:
        period = int((at - start) / options.period)
        periods[period, KINDS.index(kind)][lost] += 1
        total[kind][lost] += 1
    print(f"{'second':>10} {'kind':<7} {'ended':>7} {'in time':>7}  lost to")
    for (period, kind), losses in sorted(periods.items(), key=lambda i: i[0]):
        print_row(f"{period * options.period:g}", KINDS[kind], losses)
    for kind in KINDS:
        if kind in total:
            print_row("all", kind, total[kind])


if __name__ == "__main__":
    main()
