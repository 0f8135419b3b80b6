package org.review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A configuration leaves a service out and the next one brings it back, while one replica of the
 * service receives nothing.
 */
final class CaseServiceReturns {
    private CaseServiceReturns() {}

    public static void main(String[] args) throws Exception {
        int code;
        try (Env env = new Env(Path.of(args[0]))) {
            code = run(env);
            env.record("exit " + code);
        }
        System.exit(code);
    }

    private static int run(Env env) throws Exception {
        Service other = env.addService("kafi81c");
        Service service = env.addService("huvo11a");
        env.startPlatform();
        env.startSystem(3);
        if (!env.callUntilAcknowledged("PUT", "/config", env.configuration(7), 20_000)) {
            env.record("the configuration was not acknowledged");
            return 2;
        }
        // The heartbeats of the three databases are a third of the interval apart.
        other.startAll();
        for (Db db : service.dbs) {
            db.start();
            env.startHeartbeats(db);
            Env.sleep(400);
        }
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
        Env.sleep(3_000);
        Db a = service.dbs.stream().filter(d -> !d.primary).findFirst().orElseThrow();
        env.record("== primary " + service.primary().id + " at " + service.primary().received());
        if (env.trouble) {
            env.record("== " + a.id + " receives nothing for 6 s");
            synchronized (service) {
                a.deaf = true;
            }
        }
        Env.sleep(1_500);
        if (env.trouble) {
            env.services.remove(service);
            String without = env.configuration(9);
            env.services.add(service);
            env.record("== version 9 has no service " + service.name);
            env.callUntilAcknowledged("PUT", "/config", without, 10_000);
            Env.sleep(1_000);
        }
        // The next heartbeat to come is that of the replica.
        CaseLeavingReplica.waitFor(
                () -> {
                    long age = System.nanoTime() - a.lastBeat;
                    return age > 1_050_000_000L && age < 1_150_000_000L;
                },
                5_000);
        env.record("== version 12 has the service " + service.name);
        env.callUntilAcknowledged("PUT", "/config", env.configuration(12), 10_000);
        Env.sleep(3_500);
        env.record("== " + a.id + " receives");
        synchronized (service) {
            a.deaf = false;
        }
        Env.sleep(6_000);
        writers.forEach(w -> w.stopped = true);
        Env.sleep(1_500);
        env.record("acknowledged writes: " + acknowledged.size());
        Map<String, String> lost = service.lostCommits(acknowledged);
        env.record("acknowledged, but not in the log of the promoted database: " + lost.size());
        lost.forEach((id, db) -> env.record("LOST " + id + " when " + db + " was promoted"));
        System.out.println("acknowledged " + acknowledged.size() + ", lost " + lost.size());
        return lost.isEmpty() ? 0 : 1;
    }
}
