package org.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Open read-only transactions must not go on in a zone after its evacuation is in force. */
public final class EvacuationTransaction {
    private static final double EVACUATE_SECONDS = 5.0;
    private static final int STATEMENTS = 10;
    private static final long PAUSE_MILLIS = 900;

    private EvacuationTransaction() {}

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
        Rig.pause(6_000);
        List<Client> clients = new ArrayList<>();
        for (int n = 0; n < 12; n++) {
            Client client =
                    new Client(rig, rig.role("entry").get(n % 3).ip, "tafdb-b", Configs.KEY);
            client.query("BEGIN READ");
            Client.Answer answer = client.query("READ 1a" + n);
            rig.log("transaction " + n + ": " + answer);
            if (answer.ok()) {
                clients.add(client);
            }
        }
        Map<String, Long> open =
                fleet.runs.stream()
                        .filter(Fleet.Run::inTx)
                        .collect(Collectors.groupingBy(r -> r.db().zone, Collectors.counting()));
        String holder = rig.leaseholderZone();
        rig.log("open transactions " + open + ", the leaseholder is in " + holder);
        String zone =
                open.keySet().stream().filter(z -> !z.equals(holder)).findFirst().orElse("");
        if (holder.isEmpty() || zone.isEmpty()) {
            return Rig.NOT_RUN;
        }
        double acked =
                trouble ? rig.order("POST", "/evacuations/" + zone, "", 5) : rig.seconds();
        rig.log("zone " + zone + (trouble ? " is evacuated" : " stays in service"));
        for (int i = 1; i < STATEMENTS; i++) {
            Rig.pause(PAUSE_MILLIS);
            int done = 0;
            for (Client client : clients) {
                try {
                    done += client.query("READ 2b" + i).ok() ? 1 : 0;
                } catch (IOException e) {
                    // The session was closed.
                }
            }
            rig.log("statement " + i + ": " + done + " of " + clients.size() + " served");
        }
        for (Client client : clients) {
            client.close();
        }
        double from = acked + EVACUATE_SECONDS;
        List<Fleet.Run> late =
                fleet.runs.stream().filter(r -> r.db().zone.equals(zone) && r.at() > from).toList();
        late.forEach(r -> rig.log("ran " + r));
        rig.log(late.size() + " statements reached " + zone + " later than 5 s after " + acked);
        return trouble && !late.isEmpty() ? Rig.BROKEN : Rig.HELD;
    }
}
