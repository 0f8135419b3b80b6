package org.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in of a service with one primary and its replicas, as PROTOCOL.md describes it with
 * sync-replicas 1. The object is the lock of all its databases.
 */
final class Service {
    record Position(long term, long number) implements Comparable<Position> {
        static Position parse(String text) {
            int dot = text.indexOf('.');
            return new Position(
                    Long.parseLong(text.substring(0, dot)),
                    Long.parseLong(text.substring(dot + 1)));
        }

        @Override
        public int compareTo(Position o) {
            return term != o.term ? Long.compare(term, o.term) : Long.compare(number, o.number);
        }

        @Override
        public String toString() {
            return term + "." + number;
        }
    }

    record Write(String queryId, String item, String data) {}

    record Entry(Position position, List<Write> writes, long appendedNanos) {}

    enum CommitResult {
        DONE,
        LOST_LEAD,
        NO_ANSWER
    }

    /** One change of the primary. */
    record Promotion(String id, long fence, long nanos, Set<String> queryIdsInLog, Position at) {}

    /** One statement that reached a database. */
    record Run(String tenant, String database, String queryId, String text) {}

    final Env env;
    final String name;
    final List<Db> dbs = new ArrayList<>();
    final List<Promotion> promotions = new ArrayList<>();
    final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    final AtomicLong signatures = new AtomicLong();
    int handshakeMillis = 12;
    int workMillis = 4;
    int receiveMillis = 2;
    int applyMillis = 8;
    int promoteMillis = 600;
    long topFence;
    boolean promoting;

    Service(Env env, String name) {
        this.env = env;
        this.name = name;
        Thread thread = new Thread(this::replicate, "replication-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    synchronized Db primary() {
        return dbs.stream().filter(d -> d.primary).findFirst().orElse(null);
    }

    synchronized Db find(String id) {
        return dbs.stream().filter(d -> d.id.equals(id)).findFirst().orElse(null);
    }

    String sign(String queryId) {
        return Long.toHexString(signatures.incrementAndGet()) + "." + queryId;
    }

    void onRun(String tenant, String database, String queryId, String text) {
        runs.add(new Run(tenant, database, queryId, text));
    }

    synchronized boolean hasReached(Db db, Position wanted) {
        Position reached = new Position(1, 0);
        long now = System.nanoTime();
        for (Entry entry : db.log) {
            boolean applied =
                    db.primary
                            || now - entry.appendedNanos
                                    >= (receiveMillis + applyMillis) * 1_000_000L;
            if (applied) {
                reached = entry.position();
            }
        }
        return reached.compareTo(wanted) >= 0;
    }

    synchronized long lagMillis(Db db) {
        return db.deaf ? 1_000 : applyMillis;
    }

    /** Appends a commit and waits until one replica has received it. */
    synchronized CommitResult commit(Db db, List<Write> writes) throws InterruptedException {
        if (!db.primary || !db.running) {
            return db.running ? CommitResult.LOST_LEAD : CommitResult.NO_ANSWER;
        }
        Position position = new Position(db.term, db.received().number() + 1);
        Entry entry = new Entry(position, writes, System.nanoTime());
        db.log.add(entry);
        while (db.running && db.primary && !isReceivedByReplica(db, entry)) {
            wait(5);
        }
        // A commit that waited when the lead was lost gets no answer: its outcome is open.
        return db.running && db.primary ? CommitResult.DONE : CommitResult.NO_ANSWER;
    }

    private boolean isReceivedByReplica(Db primary, Entry entry) {
        return dbs.stream()
                .anyMatch(d -> d != primary && d.running && d.log.contains(entry));
    }

    private void replicate() {
        while (true) {
            synchronized (this) {
                Db primary = primary();
                if (primary != null && primary.running) {
                    long now = System.nanoTime();
                    for (Db db : dbs) {
                        boolean receives =
                                db != primary && db.running && !db.paused && !db.deaf;
                        if (receives) {
                            receive(db, primary, now);
                        }
                    }
                }
                notifyAll();
            }
            try {
                Thread.sleep(1);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void receive(Db db, Db primary, long now) {
        int common = 0;
        while (common < db.log.size()
                && common < primary.log.size()
                && db.log.get(common) == primary.log.get(common)) {
            common++;
        }
        while (db.log.size() > common) {
            db.log.remove(db.log.size() - 1);
        }
        while (db.log.size() < primary.log.size()) {
            Entry next = primary.log.get(db.log.size());
            if (now - next.appendedNanos() < receiveMillis * 1_000_000L) {
                return;
            }
            db.log.add(next);
        }
        db.knownTerm = Math.max(db.knownTerm, primary.term);
        db.term = Math.max(db.term, primary.term);
    }

    /** Carries out a promotion now; returns the status of the answer. */
    int promote(String id, long fence) {
        Db target;
        synchronized (this) {
            if (fence < topFence) {
                env.record("platform: refused " + name + " " + id + " with " + fence);
                return 409;
            }
            topFence = fence;
            target = find(id);
            if (target == null || !target.running) {
                return 409;
            }
            if (target.primary) {
                env.record("platform: " + id + " confirmed with " + fence);
                return 200;
            }
        }
        Thread thread = new Thread(() -> lead(target, fence), "promote-" + id);
        thread.setDaemon(true);
        thread.start();
        return 200;
    }

    private void lead(Db target, long fence) {
        try {
            Thread.sleep(promoteMillis);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            if (!target.running) {
                return;
            }
            long term = dbs.stream().mapToLong(d -> Math.max(d.term, d.knownTerm)).max().orElse(1);
            for (Db db : dbs) {
                db.primary = false;
            }
            target.primary = true;
            target.paused = false;
            target.term = term + 1;
            target.knownTerm = term + 1;
            Set<String> ids = new HashSet<>();
            target.log.forEach(e -> e.writes().forEach(w -> ids.add(w.queryId())));
            promotions.add(
                    new Promotion(
                            target.id, fence, System.nanoTime(), ids, target.received()));
            env.record(
                    "platform: "
                            + target.id
                            + " leads term "
                            + (term + 1)
                            + " with log up to "
                            + target.received()
                            + ", fence "
                            + fence);
            notifyAll();
        }
    }

    void startAll() throws IOException {
        for (Db db : dbs) {
            db.start();
            env.startHeartbeats(db);
        }
    }

    /** Returns acknowledged writes that were not in the log of a database when it was promoted. */
    synchronized Map<String, String> lostCommits(Map<String, Long> acknowledged) {
        Map<String, String> lost = new HashMap<>();
        for (Promotion promotion : promotions) {
            acknowledged.forEach(
                    (id, nanos) -> {
                        if (nanos < promotion.nanos()
                                && !promotion.queryIdsInLog().contains(id)) {
                            lost.put(id, promotion.id());
                        }
                    });
        }
        return lost;
    }
}
