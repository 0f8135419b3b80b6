package org.review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A replica leaves as planned while the other one receives nothing, and the primary crashes and
 * comes back with its log.
 */
final class CaseLeavingReplica {
    private CaseLeavingReplica() {}

    public static void main(String[] args) throws Exception {
        int code;
        try (Env env = new Env(Path.of(args[0]))) {
            code = run(env);
            env.record("exit " + code);
        }
        System.exit(code);
    }

    private static int run(Env env) throws Exception {
        Service service = env.addService("huvo11a");
        env.startPlatform();
        env.startSystem(2);
        if (!env.callUntilAcknowledged("PUT", "/config", env.configuration(7), 20_000)) {
            env.record("the configuration was not acknowledged");
            return 2;
        }
        service.startAll();
        Map<String, Long> acknowledged = Client.Writer.newMap();
        List<Client.Writer> writers =
                List.of(
                        new Client.Writer(env, 1, "p-huvo11a", 25, acknowledged),
                        new Client.Writer(env, 2, "p-huvo11a", 25, acknowledged));
        for (Client.Writer writer : writers) {
            Thread t = new Thread(writer);
            t.setDaemon(true);
            t.start();
        }
        if (!waitFor(() -> acknowledged.size() > 100, 25_000)) {
            env.record("no writes were served");
            return 2;
        }
        Env.sleep(2_000);
        // The system may have promoted another database while it started.
        Db p = service.primary();
        List<Db> replicas = service.dbs.stream().filter(d -> d != p).toList();
        Db a = replicas.get(0);
        Db b = replicas.get(1);

        env.record("== " + b.id + " announces that it leaves");
        b.draining = true;
        if (!waitFor(() -> b.drainAcked, 5_000)) {
            return 2;
        }
        sleepUntil(b.drainAckedAt, 4_500);
        if (env.trouble) {
            env.record("== " + a.id + " receives nothing for 6 s");
            synchronized (service) {
                a.deaf = true;
            }
        }
        sleepUntil(b.drainAckedAt, 7_300);
        env.record("== " + b.id + " leaves and ends");
        env.callUntilAcknowledged("DELETE", "/instances/" + b.id, null, 3_000);
        b.stop();
        if (env.trouble) {
            Env.sleep(300);
            env.record(
                    "== " + p.id + " crashes with log up to " + position(p) + ", " + a.id
                            + " has received " + position(a));
            p.stop();
            sleepUntil(b.drainAckedAt, 10_500);
            env.record("== " + a.id + " receives again");
            synchronized (service) {
                a.deaf = false;
            }
            sleepUntil(b.drainAckedAt, 13_500);
            env.record("== " + p.id + " comes back with its log");
            p.start();
            env.startHeartbeats(p);
        }
        sleepUntil(b.drainAckedAt, 18_000);
        writers.forEach(w -> w.stopped = true);
        Env.sleep(1_500);
        env.record("acknowledged writes: " + acknowledged.size());
        Map<String, String> lost = service.lostCommits(acknowledged);
        env.record("acknowledged, but not in the log of the promoted database: " + lost.size());
        lost.forEach((id, db) -> env.record("LOST " + id + " when " + db + " was promoted"));
        System.out.println(
                "acknowledged " + acknowledged.size() + ", lost " + lost.size());
        return lost.isEmpty() ? 0 : 1;
    }

    private static String position(Db db) {
        synchronized (db.service) {
            return db.received().toString();
        }
    }

    static void sleepUntil(long nanos, long millisLater) {
        Env.sleep((nanos - System.nanoTime()) / 1_000_000L + millisLater);
    }

    static boolean waitFor(java.util.function.BooleanSupplier condition, long millis) {
        long end = System.nanoTime() + millis * 1_000_000L;
        while (System.nanoTime() < end) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Env.sleep(20);
        }
        return false;
    }
}
