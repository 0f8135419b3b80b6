package org.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A configuration whose rate limit cannot be read must not be acknowledged or take effect. */
public final class InvalidConfiguration {
    private static final int RATE = 88;
    private static final double WINDOW_SECONDS = 5.0;

    /** (rate x window + burst) x (1 + quota-overage) + quota-slack. */
    private static final double LIMIT = (RATE * WINDOW_SECONDS + RATE) * 1.1 + 20;

    private InvalidConfiguration() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = Rig.NOT_RUN;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            status = run(rig, trouble);
            rig.log("exit " + status);
        } catch (IOException | IllegalStateException e) {
            System.err.println(e);
        }
        System.exit(status);
    }

    private static int run(Rig rig, boolean trouble) throws IOException {
        Fleet fleet = new Fleet(rig, "tafdb", 3, 2, 200);
        Fleet.servePlatform(rig, List.of(fleet));
        rig.startAll(3, 3, false);
        if (rig.order("PUT", "/config", Configs.of(1, List.of("tafdb"), RATE), 30) < 0) {
            return Rig.NOT_RUN;
        }
        fleet.announce();
        if (!rig.awaitReady(30)) {
            return Rig.NOT_RUN;
        }
        AtomicLong refused = new AtomicLong();
        for (int n = 0; n < 24; n++) {
            String ip = rig.role("entry").get(n % 3).ip;
            Rig.background(() -> read(rig, ip, refused));
        }
        Rig.pause(12_000);
        long before = busiestWindow(fleet, 0);
        rig.log(
                "version 1, "
                        + RATE
                        + " operations a second: at most "
                        + before
                        + " ran in 5 s (limit "
                        + Math.round(LIMIT)
                        + "), refused "
                        + refused);
        if (before == 0 || before > LIMIT) {
            return Rig.NOT_RUN;
        }
        String valid = Configs.of(2, List.of("tafdb"), RATE);
        String body =
                trouble
                        ? valid.replace(
                                "\"rate-per-s\":" + RATE, "\"rate-per-s\":\"" + RATE + "/s\"")
                        : valid;
        Rig.Response response = new Rig.Response(0, "", "");
        for (int n = 0; response.status() == 0 || response.status() >= 500; n++) {
            if (n > 10) {
                return Rig.NOT_RUN;
            }
            Rig.Proc host = rig.role("control").get(n % 3);
            response = rig.call(host.ip, rig.controlPort, "PUT", "/config", body, 1_000);
            rig.log("operator: PUT /config to " + host.name + ": " + response);
        }
        double sent = rig.seconds();
        Rig.pause(12_000);
        long after = busiestWindow(fleet, sent + 3);
        String readBack = "";
        for (Rig.Proc host : rig.role("control")) {
            Rig.Response read = rig.call(host.ip, rig.controlPort, "GET", "/config", "", 1_000);
            readBack = read.ok() ? read.body() : readBack;
        }
        int at = readBack.indexOf("\"rate-per-s\"");
        rig.log(
                "read back: "
                        + readBack.substring(0, Math.min(12, readBack.length()))
                        + " ... "
                        + (at < 0 ? "" : readBack.substring(at, Math.min(at + 40, readBack.length()))));
        rig.log("later than 3 s after: at most " + after + " ran in 5 s, refused " + refused);
        boolean acknowledged = trouble && response.ok();
        return acknowledged || after > LIMIT ? Rig.BROKEN : Rig.HELD;
    }

    private static void read(Rig rig, String ip, AtomicLong refused) {
        while (!rig.closed()) {
            try (Client client = new Client(rig, ip, "tafdb-b", Configs.KEY)) {
                while (!rig.closed()) {
                    if (!client.query("READ 1a1").ok()) {
                        refused.incrementAndGet();
                        Rig.pause(100);
                    }
                    Rig.pause(20);
                }
            } catch (IOException e) {
                Rig.pause(200);
            }
        }
    }

    /** Returns the largest number of operations that ran in some 5 s. */
    private static long busiestWindow(Fleet fleet, double from) {
        double[] times =
                fleet.runs.stream().mapToDouble(Fleet.Run::at).filter(t -> t >= from).sorted().toArray();
        int most = 0;
        for (int first = 0, last = 0; last < times.length; last++) {
            while (times[last] - times[first] > WINDOW_SECONDS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
