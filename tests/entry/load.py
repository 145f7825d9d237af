"""Callers of entry processes in the tests."""

import threading
import time

CALLERS_PER_ENTRY = 4


class Load:
    """Callers that send one request after the other to each process."""

    def __init__(self, world, target, pause=0.02, more=()):
        """Sends requests for the target with more headers, and waits between two of one caller."""
        self.world = world
        self.target = target
        self.pause = pause
        self.more = more
        self.ends = []
        self.is_over = False
        self.threads = [
            threading.Thread(target=self.send, args=(entry, number))
            for entry in world.entries
            for number in range(CALLERS_PER_ENTRY)
        ]

    def send(self, entry, number):
        sent = 0
        while not self.is_over:
            sent += 1
            begun = time.monotonic()
            request_id = f"{entry.name}-{number}-{sent}"
            status, headers, _ = entry.ask(f"{self.target}{sent}", request_id=request_id, more=self.more)
            self.ends.append((begun, time.monotonic() - begun, status, headers))
            time.sleep(self.pause)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.is_over = True
        for thread in self.threads:
            thread.join()

    def since(self, at):
        return [end for end in self.ends if end[0] >= at]
