"""A fleet with the core's version tracker: digests decide what is fetched."""

import asyncio
import copy
import random
import sys

import test_restored_table as model
from marjoramledge_core import _manifest, _timers, _versions, _members
from marjoramledge_core import configuration, node
from marjoramledge_store import followed
from returns import result
import loguru
loguru.logger.remove()

CONFIG, ZONES = model.CONFIG, model.ZONES
TABLE = model.TABLE


class Node:
    def __init__(self, fleet, index):
        self.fleet, self.index = fleet, index
        self.store = followed.ChangeFeedStore(
            tables=fleet.tables, operator_table=TABLE, is_later=model._is_later
        )
        self.tracker = _versions.VersionTracker(
            timers=_timers.TimerQueue(), waits_for_change=True
        )
        self.document = b""
        self.replaced = []
        self.merged_read = b""
        self.fetches = 0

    @property
    def digest(self):
        return self.dig(self.document)

    @staticmethod
    def dig(document):
        return configuration.compute_digest(followed.split_content(document)[0])

    @property
    def rows(self):
        return followed.decode_rows(self.document) if self.document else {}

    def serve(self, digest):
        for d in (self.document, *reversed(self.replaced)):
            if d and self.dig(d) == digest:
                return d
        return None

    def read(self):
        f = asyncio.run(self.store.wait_version(self.tracker.ref, 0.0))
        if isinstance(f, result.Failure) or f.unwrap() is None:
            return
        ref = f.unwrap().ref
        self.merge_read(ref)
        self.observe(ref, None)

    def merge(self, ref, fetched):
        return self.store.merge_documents(
            self.document, self.tracker.ref.version, fetched, ref.version
        )

    def merge_read(self, ref):
        if not self.document or not configuration.era_of(ref.version):
            return
        if self.digest != ref.digest and self.tracker.ref.version != ref.version:
            return
        d = asyncio.run(self.store.get_manifest(ref.digest)).value_or(b"")
        if not d or d == self.merged_read:
            return
        m = self.merge(ref, d)
        self.merged_read = d
        if self.dig(m) == self.tracker.ref.digest:
            self.set(m)
        else:
            self.adopt(ref, m)

    def set(self, m):
        if self.document and self.dig(m) != self.digest:
            self.replaced = (self.replaced + [self.document])[-4:]
        self.document = m

    def adopt(self, requested, m):
        version = requested.version
        if self.dig(m) != requested.digest:
            version = max(version, self.tracker.ref.version)
        ref = configuration.VersionRef(version=version, digest=self.dig(m))
        before = self.rows.get(CONFIG)
        self.tracker.adopt(ref, object(), self.fleet.now, requested=requested)
        if self.dig(m) == self.tracker.ref.digest:
            self.set(m)
        after = self.rows.get(CONFIG)
        if before is not None and int(after) < int(before):
            raise AssertionError("fallback")

    def observe(self, ref, source):
        out = []
        self.tracker.observe_version(
            _manifest.KnownVersion(ref=ref, known_at=self.fleet.now),
            None if source is None else _members.Address(host="h", port=source.index),
            self.fleet.now, out)
        for c in out:
            if isinstance(c, node.FetchManifest):
                self.fetches += 1
                if c.source is None:
                    d = asyncio.run(self.store.get_manifest(c.ref.digest)).value_or(None)
                else:
                    d = self.fleet.nodes[c.source.port].serve(c.ref.digest)
                if d is None:
                    self.tracker.fetch_failed(c.ref, self.fleet.now, random.Random(0))
                else:
                    self.adopt(c.ref, self.merge(c.ref, d))

    def hear(self, peer):
        if peer.tracker.ref.version:
            self.observe(peer.tracker.ref, peer)


class Fleet:
    def __init__(self, rng, compact):
        self.now = 0.0
        self.rng = rng
        self.tables = model._Tables()
        self.nodes = [Node(self, i) for i in range(5)]
        self.followers = 2
        self.revision = 0
        self.copy = copy.deepcopy(self.tables.state)
        self.since, self.lost = [], []
        self.compact = compact
        self.log = []

    def write(self, key, value):
        self.tables.change(key, value)
        self.since.append((key, value))

    def again(self):
        lost, self.lost = self.lost, []
        for k, v in lost:
            self.write(k, v)

    def step(self):
        r = self.rng
        self.now += 0.1
        k = r.choices(
            ["config", "evac", "end", "copy", "restore", "again", "read", "hear", "new", "other", "compact"],
            [2, 1.5, 1.5, 1, .5, 1, 5, 12, .7, 1, .4 if self.compact else 0])[0]
        a = b = None
        if k == "config":
            self.again(); self.revision += 1; self.write(CONFIG, str(self.revision).encode())
        elif k == "evac":
            a = r.choice(ZONES); self.again(); self.write(a, b"{}")
        elif k == "end":
            a = r.choice(ZONES); self.again(); self.write(a, None)
        elif k == "copy":
            self.copy = copy.deepcopy(self.tables.state); self.since = []
        elif k == "restore":
            self.lost = [*self.since, *self.lost]; self.tables.restore(self.copy); self.since = []
        elif k == "again":
            self.again()
        elif k == "read":
            a = r.randrange(self.followers); self.nodes[a].read()
        elif k == "hear":
            a, b = r.sample(range(5), 2); self.nodes[a].hear(self.nodes[b])
        elif k == "new":
            a = r.randrange(5); self.nodes[a] = Node(self, a); self.nodes[a].read()
        elif k == "other":
            self.tables.state.version += 1
        elif k == "compact":
            self.tables.history_start = self.tables.state.version
        self.log.append((k, a, b, self.tables.era, self.tables.state.version))

    def settle(self):
        self.again()
        self.revision_end = True
        for _ in range(6):
            self.now += 1
            for i in range(self.followers):
                self.nodes[i].read()
            for _ in range(3):
                for a in range(5):
                    for b in range(5):
                        if a != b:
                            self.nodes[a].hear(self.nodes[b])

    def wrong(self):
        exp = {k: v.decode() for k, (v, _) in self.tables.state.rows.items()}
        return [(n.index, n.rows, n.tracker.ref) for n in self.nodes if n.rows != exp], exp


def main(compact, seeds, steps):
    bad = 0
    for seed in range(seeds):
        f = Fleet(random.Random(seed), compact)
        try:
            for _ in range(steps):
                f.step()
            f.settle()
            w, exp = f.wrong()
        except AssertionError as e:
            w, exp = [("assert", str(e))], None
        if w:
            bad += 1
            if bad <= 3:
                print("seed", seed, "wrong", [x[:2] for x in w], "expected", exp)
    print("bad", bad, "of", seeds, "compact", compact, "steps", steps)


if __name__ == "__main__":
    main(sys.argv[1] == "1", int(sys.argv[2]), int(sys.argv[3]))
