package org.review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** The operator sends hundreds of configurations of a few hundred routes each. */
final class CaseManyConfigurations {
    private CaseManyConfigurations() {}

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
        env.restartEnded();
        Map<String, Long> acknowledged = Client.Writer.newMap();
        List<Client.Writer> writers =
                List.of(
                        new Client.Writer(env, 1, "p-huvo11a", 100, acknowledged),
                        new Client.Writer(env, 2, "p-huvo11a", 100, acknowledged));
        for (Client.Writer writer : writers) {
            Thread t = new Thread(writer);
            t.setDaemon(true);
            t.start();
        }
        if (!CaseLeavingReplica.waitFor(() -> acknowledged.size() > 20, 25_000)) {
            env.record("no writes were served");
            return 2;
        }
        long end = env.startNanos + 72_000_000_000L;
        int version = 8;
        int newest = 7;
        while (System.nanoTime() < end && version < 600) {
            long sentNanos = System.nanoTime();
            String body = big(env.configuration(version), version, env.trouble ? 350 : 0);
            boolean ok = env.callUntilAcknowledged("PUT", "/config", body, 5_000);
            if (ok) {
                newest = version;
            }
            if (version % 20 == 0 || !ok) {
                env.record(
                        "operator: version "
                                + version
                                + " of "
                                + body.length()
                                + " bytes: "
                                + (ok ? "acknowledged" : "no acknowledgement for 5 s")
                                + "; writes acknowledged so far: "
                                + acknowledged.size());
            }
            version++;
            // A change each 60 ms, as in the storms of the site, and never two at once.
            CaseLeavingReplica.sleepUntil(sentNanos, 60);
        }
        env.record("== the operator sends no more; newest acknowledged version: " + newest);
        // recovery-s is 12 and stability-ms 4,000; both pass before the configuration is judged.
        Env.sleep(12_000);
        int before = acknowledged.size();
        long read = -1;
        long readEnd = System.nanoTime() + 8_000_000_000L;
        while (System.nanoTime() < readEnd && read < newest) {
            read = env.readVersion();
            env.record("operator: GET /config returns " + (read < 0 ? "nothing" : "" + read));
            Env.sleep(500);
        }
        Env.sleep(2_000);
        env.record("writes acknowledged in the last seconds: " + (acknowledged.size() - before));
        env.record("processes that ended by themselves: " + env.ownEnds);
        writers.forEach(w -> w.stopped = true);
        boolean lost = read < newest;
        if (lost) {
            env.record("CONFIG: version " + newest + " was acknowledged and is not read back");
        }
        System.out.println(
                "newest acknowledged "
                        + newest
                        + ", read back "
                        + read
                        + ", ended by themselves "
                        + env.ownEnds);
        return lost || env.ownEnds > 0 ? 1 : 0;
    }

    static String big(String config, int version, int routes) {
        StringBuilder more = new StringBuilder();
        for (int i = 0; i < routes; i++) {
            more.append(",{\"name\":\"r-x")
                    .append(i)
                    .append("\",\"host\":\"idle")
                    .append(version)
                    .append("db")
                    .append(i)
                    .append("\",\"path-prefix\":\"/\",\"type\":\"read_your_writes\",")
                    .append("\"timeout-ms\":")
                    .append(800 + i)
                    .append(",\"target-latency-ms\":200,\"priority\":2,\"service\":\"huvo11a\",")
                    .append("\"max-attempts\":2,\"max-staleness-ms\":2500,")
                    .append("\"allow-anonymous\":false}");
        }
        return config.replace("],\"services\"", more + "],\"services\"");
    }
}
