package org.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A service that one configuration leaves out and the next one has again must not lose acknowledged
 * commits while one of its replicas receives nothing.
 */
public final class ServiceReturnLoss {
    private ServiceReturnLoss() {}

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
        rig.startAll(3, 3, false);
        List<String> both = List.of("tafdb", "othdb");
        if (rig.order("PUT", "/config", Configs.of(1, both, 400), 30) < 0) {
            return Rig.NOT_RUN;
        }
        // The heartbeats of each database come every 1.2 s, at times of its own.
        for (Fleet.Db db : fleet.dbs) {
            fleet.announce(db);
            Rig.pause(400);
        }
        other.announce();
        if (!rig.awaitReady(30)) {
            return Rig.NOT_RUN;
        }
        Rig.pause(6_000);
        Fleet.Db primary = fleet.primary();
        int number = fleet.dbs.get(2) == primary ? 1 : 2;
        Fleet.Db last = fleet.dbs.get(number);
        Fleet.Db before = fleet.dbs.get(number - 1);
        rig.log("the primary is " + primary);
        if (trouble) {
            last.deaf = true;
            rig.log("replica " + last + " receives nothing from now on");
        }
        double deafAt = rig.seconds();
        List<String> acknowledged = new ArrayList<>();
        for (int n = 0; n < 3; n++) {
            try (Client client =
                    new Client(rig, rig.role("entry").get(n).ip, "tafdb-p", Configs.KEY)) {
                for (int i = 0; i < 5; i++) {
                    Client.Answer answer = client.query("WRITE 1a" + n + " data" + i);
                    rig.log("write: " + answer);
                    if (answer.ok()) {
                        acknowledged.add(answer.id());
                    }
                }
            }
        }
        List<String> services = trouble ? List.of("othdb") : both;
        if (acknowledged.isEmpty()
                || rig.order("PUT", "/config", Configs.of(2, services, 401), 3) < 0) {
            return Rig.NOT_RUN;
        }
        // The next configuration corrects this one about a second later, between two heartbeats.
        Rig.pause(500);
        while (Math.abs(rig.seconds() - before.lastBeat - 0.1) > 0.02) {
            Rig.pause(5);
        }
        if (rig.order("PUT", "/config", Configs.of(3, both, 402), 3) < 0) {
            return Rig.NOT_RUN;
        }
        Rig.pause(Math.round(Math.max(0, 6.5 - (rig.seconds() - deafAt)) * 1_000));
        rig.log("replica " + last + " receives again");
        last.deaf = false;
        Rig.pause(6_000);
        List<String> lost = new ArrayList<>(acknowledged);
        lost.removeAll(fleet.primary().log);
        rig.log(
                acknowledged.size()
                        + " commits were acknowledged, primary was "
                        + primary
                        + " and is "
                        + fleet.primary());
        rig.log("acknowledged and not in the log of the primary: " + lost);
        return lost.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }
}
