package org.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/** Clients write items whose statements stay below the largest allowed message. */
public final class LargeStatements {
    private static final int SESSIONS = 35;
    private static final int LARGE_CHARACTERS = 1_000_000;
    private static final int SMALL_CHARACTERS = 1_000;

    private LargeStatements() {}

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
        rig.startAll(3, 3, true);
        if (rig.order("PUT", "/config", Configs.of(1, List.of("tafdb"), 4000), 30) < 0) {
            return Rig.NOT_RUN;
        }
        fleet.announce();
        if (!rig.awaitReady(30)) {
            return Rig.NOT_RUN;
        }
        Rig.pause(4_000);
        String data = "x".repeat(trouble ? LARGE_CHARACTERS : SMALL_CHARACTERS);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        for (int n = 0; n < SESSIONS * 3; n++) {
            String ip = rig.role("entry").get(n % 3).ip;
            int number = n;
            Rig.background(
                    () -> {
                        while (!rig.closed()) {
                            try (Client client = new Client(rig, ip, "tafdb-p", Configs.KEY)) {
                                while (!rig.closed()) {
                                    boolean ok =
                                            client.query("WRITE 1a" + number + " " + data).ok();
                                    (ok ? served : refused).incrementAndGet();
                                    Rig.pause(500);
                                }
                            } catch (IOException e) {
                                cut.incrementAndGet();
                                Rig.pause(500);
                            }
                        }
                    });
        }
        for (int i = 0; i < 6; i++) {
            Rig.pause(5_000);
            rig.log(served + " served, " + refused + " refused, " + cut + " without an answer");
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
}
