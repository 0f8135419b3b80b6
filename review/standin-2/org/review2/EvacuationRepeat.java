package org.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * A withdrawal of an evacuation that one control host received just before it froze, and that the
 * operator repeated at another host, must not undo a later evacuation of the same zone.
 */
public final class EvacuationRepeat {
    /** evacuate-ms, stretched by max-skew-ms because a core machine was frozen meanwhile. */
    private static final double EVACUATE_SECONDS = 5.0 + 12.0;

    private static final long FREEZE_MILLIS = 4_000;

    private EvacuationRepeat() {}

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
        if (rig.order("PUT", "/config", Configs.of(1, List.of("tafdb"), 400), 30) < 0) {
            return Rig.NOT_RUN;
        }
        fleet.announce();
        if (!rig.awaitReady(30)) {
            return Rig.NOT_RUN;
        }
        Rig.background(() -> read(rig));
        Rig.pause(4_000);
        String zone = Rig.zone(2);
        long before = countIn(fleet, zone, rig.seconds() - 3);
        rig.log("reads in " + zone + " in the last 3 s: " + before);
        if (before == 0) {
            return Rig.NOT_RUN;
        }
        // The zone goes out of service and comes back.
        double first = rig.order("POST", "/evacuations/" + zone, "", 5);
        Rig.pause(1_000);
        // The machine that freezes, a control host in another zone; the others keep a majority.
        Rig.Proc frozen = follower(rig);
        List<Rig.Proc> others =
                rig.role("control").stream().filter(p -> p != frozen).toList();
        if (first < 0) {
            return Rig.NOT_RUN;
        }
        double frozenAt = rig.seconds();
        if (trouble) {
            frozen.freeze();
            rig.role("leaseholder").stream()
                    .filter(p -> p.ip.equals(frozen.ip))
                    .forEach(Rig.Proc::freeze);
        }
        Rig.Response response =
                rig.call(
                        frozen.ip,
                        rig.controlPort,
                        "DELETE",
                        "/evacuations/" + zone,
                        "",
                        1_000);
        rig.log(
                "operator: DELETE /evacuations/"
                        + zone
                        + " to "
                        + frozen.name
                        + ": "
                        + (response.status() == 0 ? "no response" : response.status()));
        if (!response.ok() && rig.order("DELETE", "/evacuations/" + zone, "", 5, others) < 0) {
            return Rig.NOT_RUN;
        }
        Rig.pause(1_000);
        // The operator takes the zone out of service again.
        double acked = rig.order("POST", "/evacuations/" + zone, "", 5, others);
        if (acked < 0) {
            return Rig.NOT_RUN;
        }
        rig.log("the evacuation of " + zone + " is acknowledged");
        if (trouble) {
            Rig.pause((long) Math.max(0, FREEZE_MILLIS - (rig.seconds() - frozenAt) * 1_000));
            frozen.thaw();
            rig.role("leaseholder").stream()
                    .filter(p -> p.ip.equals(frozen.ip))
                    .forEach(Rig.Proc::thaw);
        }
        Rig.pause(24_000);
        // The thaw is more than 8 s ago by then, so that every machine is in touch.
        double from = acked + EVACUATE_SECONDS;
        long late = countIn(fleet, zone, from);
        fleet.runs.stream()
                .filter(r -> r.db().zone.equals(zone) && r.at() > from)
                .limit(20)
                .forEach(
                        r ->
                                rig.log(
                                        String.format(
                                                "ran at %.3f s in %s: %s %s",
                                                r.at(), r.db(), r.id(), r.text())));
        rig.log(
                String.format(
                        "%d statements reached %s more than %.1f s after its evacuation was"
                                + " acknowledged at %.3f s",
                        late, zone, from - acked, acked));
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Returns a control host that redirects reads of the configuration, so does not lead. */
    private static Rig.Proc follower(Rig rig) {
        Optional<Rig.Proc> found =
                rig.role("control").stream()
                        .filter(p -> !p.zone.equals(Rig.zone(2)))
                        .filter(p -> !leads(rig, p))
                        .findFirst();
        return found.orElseThrow(() -> new IllegalStateException("no follower found"));
    }

    private static boolean leads(Rig rig, Rig.Proc proc) {
        return rig.hop(proc.ip, rig.controlPort, "GET", "/config").status() == 200;
    }

    private static long countIn(Fleet fleet, String zone, double from) {
        return fleet.runs.stream().filter(r -> r.db().zone.equals(zone) && r.at() > from).count();
    }

    /** Clients read on a route that takes stated ages, one short session after the other. */
    private static void read(Rig rig) {
        for (int n = 0; n < 6; n++) {
            String ip = rig.role("entry").get(n % 3).ip;
            Rig.background(
                    () -> {
                        while (!rig.closed()) {
                            try (Client client = new Client(rig, ip, "tafdb-b", Configs.KEY)) {
                                for (int i = 0; i < 20; i++) {
                                    client.query("READ 1a" + i);
                                    Rig.pause(30);
                                }
                            } catch (IOException e) {
                                Rig.pause(200);
                            }
                        }
                    });
        }
    }
}
