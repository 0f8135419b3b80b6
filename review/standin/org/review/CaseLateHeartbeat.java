package org.review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A heartbeat of a database that has left arrives late. Then the primary is lost for good, and all
 * processes of the system are killed and start again.
 */
final class CaseLateHeartbeat {
    private CaseLateHeartbeat() {}

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
        Db b = service.dbs.get(2);
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
                        new Client.Writer(env, 1, "p-huvo11a", 50, acknowledged),
                        new Client.Writer(env, 2, "p-huvo11a", 50, acknowledged));
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
        Db leaving = b.primary ? service.dbs.get(1) : b;
        Db next = env.addDatabase(service, 4);
        env.record("== " + next.id + " starts, " + leaving.id + " announces that it leaves");
        String late = env.heartbeat(leaving);
        next.start();
        env.startHeartbeats(next);
        leaving.draining = true;
        if (!CaseLeavingReplica.waitFor(() -> leaving.drainAcked, 5_000)) {
            return 2;
        }
        CaseLeavingReplica.sleepUntil(leaving.drainAckedAt, 7_300);
        env.record("== " + leaving.id + " leaves and ends");
        env.callUntilAcknowledged("DELETE", "/instances/" + leaving.id, null, 3_000);
        leaving.stop();
        Env.sleep(1_000);
        if (env.trouble) {
            env.record("== a heartbeat of " + leaving.id + " from before arrives: " + late);
            env.callUntilAcknowledged("PUT", "/instances/" + leaving.id, late, 3_000);
        }
        Env.sleep(2_000);
        int before = acknowledged.size();
        Env.sleep(3_000);
        int rateBefore = (acknowledged.size() - before) / 3;
        Db primary = service.primary();
        env.record("== all processes are killed, " + primary.id + " is lost for good");
        env.processes.values().forEach(Process::destroyForcibly);
        primary.stop();
        env.restartEnded();
        // recovery-s is 12; the processes are back after about 1 s.
        Env.sleep(14_000);
        before = acknowledged.size();
        Env.sleep(10_000);
        int rateAfter = (acknowledged.size() - before) / 10;
        env.record("writes served a second: " + rateBefore + " before the final fault, "
                + rateAfter + " from 13 to 23 s after it");
        writers.forEach(w -> w.stopped = true);
        Env.sleep(1_500);
        boolean broken = rateAfter * 4 < rateBefore;
        if (broken) {
            env.record("RECOVER: less than a quarter is served");
        }
        System.out.println("served a second " + rateBefore + " before, " + rateAfter + " after");
        return broken ? 1 : 0;
    }
}
