package org.review;

import java.nio.file.Path;

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
        Env.sleep(3_000);
        long end = System.nanoTime() + 80_000_000_000L;
        int version = 8;
        int acked = 0;
        int failed = 0;
        while (System.nanoTime() < end && version < 600) {
            String body = big(env.configuration(version), version, env.trouble ? 350 : 3);
            long t = System.nanoTime();
            boolean ok = env.callUntilAcknowledged("PUT", "/config", body, 5_000);
            long ms = (System.nanoTime() - t) / 1_000_000;
            if (ok) {
                acked++;
            } else {
                failed++;
            }
            if (version % 20 == 0 || !ok || ms > 1000) {
                env.record("version " + version + " of " + body.length() + " bytes: " + ok + " after " + ms + " ms");
                env.processes.forEach((n, p) -> {
                    if (!p.isAlive()) {
                        env.record("process " + n + " has ended");
                    }
                });
            }
            version++;
            Env.sleep(50);
        }
        env.record("acknowledged " + acked + ", not " + failed);
        return failed == 0 ? 0 : 1;
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
