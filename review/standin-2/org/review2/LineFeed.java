package org.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Only CR LF ends a line of the wire; a text field may hold a line feed. */
public final class LineFeed {
    private LineFeed() {}

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
        Rig.pause(4_000);
        String separator = trouble ? "\n" : " ";
        Map<String, String> sent = new LinkedHashMap<>();
        String inner = Client.newId();
        for (int n = 0; n < 3; n++) {
            write(rig, n, sent, "WRITE 1a" + n + " refilled" + separator + "tag renewed");
        }
        write(
                rig,
                0,
                sent,
                "WRITE 1b0 note" + separator + "QUERY " + inner + " WRITE 9z9 smuggled");
        fleet.multiLineItem = "2c0";
        fleet.multiLineRow = "two lines" + separator + "ROW in one row";
        int mixed = read(rig, sent, fleet.multiLineRow);
        Rig.pause(2_000);
        int changed = 0;
        for (Fleet.Run run : fleet.runs) {
            String text = sent.get(run.id());
            boolean same = run.text().equals(text);
            changed += same ? 0 : 1;
            rig.log(
                    "ran in "
                            + run.db()
                            + ": "
                            + run.id()
                            + " \""
                            + visible(run.text())
                            + "\""
                            + (text == null
                                    ? ", which no client sent as a statement"
                                    : same ? "" : ", with changed text"));
        }
        rig.log(fleet.runs.size() + " statements ran, " + changed + " that no client sent");
        if (fleet.runs.isEmpty() && !trouble) {
            return Rig.NOT_RUN;
        }
        rig.log(mixed + " reads were answered with success and other rows");
        return changed > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Reads an item whose row has the same separator; returns the number of wrong successes. */
    private static int read(Rig rig, Map<String, String> sent, String row) {
        String id = Client.newId();
        sent.put(id, "READ 2c0");
        try (Client client =
                new Client(rig, rig.role("entry").get(1).ip, "tafdb-b", Configs.KEY)) {
            Client.Answer answer = client.query(id, "READ 2c0");
            rig.log("client gets rows " + client.rows + ", " + answer);
            return answer.ok() && !client.rows.equals(List.of(row)) ? 1 : 0;
        } catch (IOException e) {
            rig.log("client: " + e.getMessage());
            return 0;
        }
    }

    private static void write(Rig rig, int entry, Map<String, String> sent, String text) {
        String id = Client.newId();
        sent.put(id, text);
        rig.log("client: QUERY " + id + " " + visible(text));
        try (Client client =
                new Client(rig, rig.role("entry").get(entry).ip, "tafdb-p", Configs.KEY)) {
            rig.log("client gets " + client.query(id, text));
            rig.pause(300);
        } catch (IOException e) {
            rig.log("client: " + e.getMessage());
        }
    }

    private static String visible(String text) {
        return text.replace("\n", "<LF>");
    }
}
