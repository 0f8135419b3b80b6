package org.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/** A client reads an item whose answer has many rows. */
public final class LargeAnswer {
    private static final int MANY_ROWS = 15_000;
    private static final int FEW_ROWS = 10;

    private LargeAnswer() {}

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
        fleet.longItem = "7f0";
        fleet.longRows = trouble ? MANY_ROWS : FEW_ROWS;
        rig.startAll(3, 3, true);
        if (rig.order("PUT", "/config", Configs.of(1, List.of("tafdb"), 400), 30) < 0) {
            return Rig.NOT_RUN;
        }
        fleet.announce();
        if (!rig.awaitReady(30)) {
            return Rig.NOT_RUN;
        }
        Rig.pause(4_000);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        for (int n = 0; n < 6; n++) {
            int number = n;
            Rig.background(() -> repeat(rig, number, "WRITE 1a" + number + " data", served, failed));
        }
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        Rig.background(() -> repeat(rig, 0, "READ 7f0", whole, broken));
        for (int i = 0; i < 6; i++) {
            Rig.pause(5_000);
            rig.log(
                    "writes: "
                            + served
                            + " served, "
                            + failed
                            + " not; long reads: "
                            + whole
                            + " served, "
                            + broken
                            + " not");
        }
        String exits =
                rig.procs.stream()
                        .filter(p -> p.exits > 0)
                        .map(p -> p.name + " " + p.role + " " + p.exits)
                        .collect(Collectors.joining(", "));
        rig.log("processes that ended by themselves: " + exits);
        long often = rig.procs.stream().filter(p -> p.exits >= 3).map(p -> p.ip).distinct().count();
        return often >= 2 ? Rig.BROKEN : Rig.HELD;
    }

    private static void repeat(
            Rig rig, int number, String text, AtomicInteger served, AtomicInteger failed) {
        for (int n = number; !rig.closed(); n++) {
            String route = text.startsWith("READ") ? "tafdb-b" : "tafdb-p";
            try (Client client =
                    new Client(rig, rig.role("entry").get(n % 3).ip, route, Configs.KEY)) {
                while (!rig.closed()) {
                    if (client.query(text).ok()) {
                        served.incrementAndGet();
                    } else {
                        failed.incrementAndGet();
                    }
                    Rig.pause(300);
                }
            } catch (IOException e) {
                failed.incrementAndGet();
                Rig.pause(300);
            }
        }
    }
}
