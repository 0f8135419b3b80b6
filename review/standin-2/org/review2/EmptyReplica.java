package org.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The primary and the one replica that has its latest commits crash, and the replica starts again
 * empty. A new leaseholder must wait for the primary, which comes back with its log.
 */
public final class EmptyReplica {
    private static final long DEAF_MILLIS = 6_500;

    private EmptyReplica() {}

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
        if (rig.order("PUT", "/config", Configs.of(1, List.of("tafdb"), 400), 30) < 0) {
            return Rig.NOT_RUN;
        }
        fleet.announce();
        if (!rig.awaitReady(30)) {
            return Rig.NOT_RUN;
        }
        Rig.pause(6_000);
        Rig.Proc holder = rig.leaseholder();
        Fleet.Db primary = fleet.primary();
        List<Fleet.Db> replicas = fleet.dbs.stream().filter(d -> d != primary).toList();
        Fleet.Db near = replicas.get(0);
        Fleet.Db behind = replicas.get(1);
        Rig.Proc entry =
                rig.role("entry").stream().filter(p -> p != holder).findFirst().orElseThrow();
        List<String> acknowledged = new ArrayList<>();
        write(rig, entry, acknowledged, 5);
        rig.log("primary " + primary + " at " + primary.position() + ", leaseholder " + holder.name);
        long deafNanos = System.nanoTime();
        if (trouble) {
            behind.deaf = true;
            rig.log("replica " + behind + " receives nothing from now on");
        }
        write(rig, entry, acknowledged, 15);
        if (acknowledged.size() < 20) {
            return Rig.NOT_RUN;
        }
        if (trouble) {
            primary.crash();
            near.crash();
            if (System.getenv("KEEP_LEASEHOLDER") == null) {
                holder.kill();
            }
            Rig.pause(200);
            fleet.startEmpty(near);
            long passed = (System.nanoTime() - deafNanos) / 1_000_000;
            Rig.pause(DEAF_MILLIS - passed);
            behind.deaf = false;
            fleet.startWithLog(primary);
        }
        Rig.pause(8_000);
        List<String> lost = new ArrayList<>(acknowledged);
        lost.removeAll(fleet.primary().log);
        rig.log(
                acknowledged.size()
                        + " commits were acknowledged; the primary was "
                        + primary
                        + " and is "
                        + fleet.primary());
        rig.log("acknowledged and not in the log of the primary: " + lost.size() + " " + lost);
        return lost.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }

    private static void write(Rig rig, Rig.Proc entry, List<String> acknowledged, int count)
            throws IOException {
        try (Client client = new Client(rig, entry.ip, "tafdb-p", Configs.KEY)) {
            int done = 0;
            for (int i = 0; done < count && i < 3 * count; i++) {
                Client.Answer answer = client.query("WRITE 1a data" + i);
                rig.log("write: " + answer);
                if (answer.ok()) {
                    acknowledged.add(answer.id());
                    done++;
                } else {
                    // A refusal such as BUSY; the next attempt has a new id.
                    Rig.pause(100);
                }
            }
        }
    }
}
