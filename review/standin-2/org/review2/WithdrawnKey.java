package org.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Statements of open transactions must not run for a key after its withdrawal is in force. */
public final class WithdrawnKey {
    /** revoke-ms, which is more than config-apply-ms (3 s). */
    private static final double WITHDRAW_SECONDS = 5.0;
    private static final int STATEMENTS = 10;
    private static final long PAUSE_MILLIS = 900;

    private WithdrawnKey() {}

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
        for (int n = 0; n < 6; n++) {
            boolean write = n % 2 == 0;
            Client client =
                    new Client(
                            rig,
                            rig.role("entry").get(n % 3).ip,
                            write ? "tafdb-p" : "tafdb-o",
                            Configs.KEY);
            client.query(write ? "BEGIN" : "BEGIN READ");
            Client.Answer answer = client.query(write ? "WRITE 1a" + n + " data" : "READ 1a" + n);
            rig.log("transaction " + n + ": " + answer);
            if (answer.ok()) {
                clients.add(client);
            }
        }
        double acked =
                rig.order(
                        "PUT",
                        "/config",
                        trouble
                                ? Configs.of(2, List.of("tafdb"), 400).replace(Configs.KEY, "j8pj")
                                : Configs.of(2, List.of("tafdb"), 401),
                        5);
        if (clients.isEmpty() || acked < 0) {
            return Rig.NOT_RUN;
        }
        rig.log("the key is " + (trouble ? "withdrawn" : "kept"));
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
            Client.Answer answer = client.query("COMMIT");
            rig.log("commit: " + answer);
            client.close();
        }
        double from = acked + WITHDRAW_SECONDS;
        List<Fleet.Run> late = fleet.runs.stream().filter(r -> r.at() > from).toList();
        late.forEach(r -> rig.log("ran " + r));
        boolean refused;
        try (Client client = new Client(rig, rig.role("entry").get(0).ip, "tafdb-p", Configs.KEY)) {
            refused = false;
        } catch (IOException e) {
            rig.log("a new session with the key: " + e.getMessage());
            refused = true;
        }
        rig.log(late.size() + " statements ran later than 5 s after " + acked);
        return trouble && refused && !late.isEmpty() ? Rig.BROKEN : Rig.HELD;
    }
}
