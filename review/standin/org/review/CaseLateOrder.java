package org.review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The primary crashes and comes back. The platform gives no answer to two orders and carries them
 * out late; one replica receives nothing for a while.
 */
final class CaseLateOrder {
    private CaseLateOrder() {}

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
        AtomicInteger lateOrders = new AtomicInteger();
        AtomicBoolean started = new AtomicBoolean();
        long[] firstLate = {0};
        String[] target = {""};
        if (env.trouble) {
            env.orders =
                    (s, id, fence) -> {
                        if (!started.get()) {
                            return s.promote(id, fence);
                        }
                        boolean window =
                                firstLate[0] == 0
                                        || System.nanoTime() - firstLate[0] < 5_500_000_000L;
                        int number = lateOrders.get();
                        boolean late = window && number < 2;
                        if (!late) {
                            return s.promote(id, fence);
                        }
                        lateOrders.incrementAndGet();
                        if (number == 0) {
                            firstLate[0] = System.nanoTime();
                            target[0] = id;
                        }
                        // 9 s and 12 s after the order: within 2 to 12 s.
                        carryOutLater(env, s, id, fence, number == 0 ? 9_000 : 12_000);
                        return 0;
                    };
        }
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
        if (!CaseLeavingReplica.waitFor(() -> acknowledged.size() > 100, 25_000)) {
            env.record("no writes were served");
            return 2;
        }
        Env.sleep(1_000);
        // The system may have promoted another database while it started.
        Db p = service.primary();
        started.set(true);
        env.record("== " + p.id + " crashes");
        p.stop();
        if (env.trouble) {
            if (!CaseLeavingReplica.waitFor(() -> firstLate[0] != 0, 5_000)) {
                env.record("no order came");
                return 2;
            }
            CaseLeavingReplica.sleepUntil(firstLate[0], 3_000);
        } else {
            Env.sleep(3_000);
        }
        env.record("== " + p.id + " comes back with its log");
        p.start();
        env.startHeartbeats(p);
        if (env.trouble) {
            CaseLeavingReplica.sleepUntil(firstLate[0], 6_000);
            env.record("== " + target[0] + " receives nothing for 5 s");
            synchronized (service) {
                service.find(target[0]).deaf = true;
            }
            CaseLeavingReplica.sleepUntil(firstLate[0], 11_000);
            synchronized (service) {
                service.find(target[0]).deaf = false;
            }
            CaseLeavingReplica.sleepUntil(firstLate[0], 18_000);
        } else {
            Env.sleep(15_000);
        }
        writers.forEach(w -> w.stopped = true);
        Env.sleep(1_500);
        env.record("acknowledged writes: " + acknowledged.size());
        Map<String, String> lost = service.lostCommits(acknowledged);
        env.record("acknowledged, but not in the log of the promoted database: " + lost.size());
        lost.forEach((id, db) -> env.record("LOST " + id + " when " + db + " was promoted"));
        System.out.println("acknowledged " + acknowledged.size() + ", lost " + lost.size());
        return lost.isEmpty() ? 0 : 1;
    }

    private static void carryOutLater(
            Env env, Service service, String id, long fence, long millis) {
        env.record("platform: carries out " + id + " with " + fence + " in " + millis + " ms");
        Thread t =
                new Thread(
                        () -> {
                            Env.sleep(millis);
                            env.record(
                                    "platform: late order "
                                            + id
                                            + " with "
                                            + fence
                                            + ": "
                                            + service.promote(id, fence));
                        });
        t.setDaemon(true);
        t.start();
    }
}
