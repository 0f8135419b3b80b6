package org.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A service that one configuration leaves out and the next one has again must not get fencing tokens
 * that were used before.
 */
public final class ServiceReturn {
    private ServiceReturn() {}

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
        Fleet other = new Fleet(rig, "othdb", 3, 2, 210);
        Fleet.servePlatform(rig, List.of(fleet, other));
        rig.startAll(3, 4, true);
        List<String> both = List.of("tafdb", "othdb");
        if (rig.order("PUT", "/config", Configs.of(1, both, 400), 30) < 0) {
            return Rig.NOT_RUN;
        }
        fleet.announce();
        other.announce();
        if (!rig.awaitReady(30)) {
            return Rig.NOT_RUN;
        }
        Rig.pause(3_000);
        roll(rig, false);
        Rig.pause(4_000);
        double removed =
                rig.order(
                        "PUT",
                        "/config",
                        Configs.of(2, trouble ? List.of("othdb") : both, 401),
                        5);
        Rig.pause(3_000);
        double back = rig.order("PUT", "/config", Configs.of(3, both, 402), 5);
        if (removed < 0 || back < 0 || fleet.promotions.isEmpty()) {
            return Rig.NOT_RUN;
        }
        Rig.pause(4_000);
        roll(rig, true);
        Rig.pause(8_000);
        boolean broken = false;
        for (Fleet f : List.of(fleet, other)) {
            Map<Long, Set<String>> holders = new TreeMap<>();
            f.promotions.forEach(
                    p -> holders.computeIfAbsent(p.fence(), k -> new TreeSet<>()).add(p.holder()));
            for (Map.Entry<Long, Set<String>> e : holders.entrySet()) {
                rig.log(f.service + ": token " + e.getKey() + " was sent by " + e.getValue());
                broken |= e.getValue().size() > 1;
            }
        }
        return broken ? Rig.BROKEN : Rig.HELD;
    }

    /** Stops the entry hosts and leaseholders in turn; each starts again. */
    private static void roll(Rig rig, boolean backwards) {
        List<Rig.Proc> procs =
                new ArrayList<>(
                        rig.procs.stream().filter(p -> !p.role.equals("control")).toList());
        if (backwards) {
            Collections.reverse(procs);
        }
        for (Rig.Proc proc : procs) {
            proc.terminate();
            Rig.pause(1_300);
        }
        Rig.pause(8_000);
    }
}
