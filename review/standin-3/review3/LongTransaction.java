package review3;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A client's transaction with pauses, and an order of the operator while it is open. */
final class LongTransaction {
    static final String KEY = "u6wsjnbanfqasnmgkcuy";
    static final String OTHER_KEY = "j8pjbvk9m68k7b2ex5wa";
    /** A transaction has at most 12 statements; the last one is the COMMIT. */
    static final int STATEMENTS = 12;
    /** Below tx-idle-ms, which is 3,000. */
    static final int PAUSE_MILLIS = 1_000;

    private LongTransaction() {}

    /** Returns the routes and services of the deployment. */
    static String configuration(int version, String host, String type, List<String> keys) {
        StringBuilder quoted = new StringBuilder();
        for (String key : keys) {
            quoted.append(quoted.isEmpty() ? "" : ",").append('"').append(key).append('"');
        }
        return Rig.configuration(
                version,
                List.of(Rig.route(host, type, "huvo11a", 3000)),
                List.of(Rig.service("huvo11a", 54)),
                List.of(
                        "{\"name\":\"nypu920\",\"api-keys\":[" + quoted
                                + "],\"priority\":1,\"rate-per-s\":88,\"burst\":88}"));
    }

    static void start(Rig rig, String host, String type) throws Exception {
        rig.addService("huvo11a", 5, 54, 20);
        rig.start(3, 3);
        rig.configure(configuration(3, host, type, List.of(KEY, OTHER_KEY)), 30_000);
        rig.awaitServing(rig.role("entry"), host, KEY, "READ 1a4", 20_000);
        // The pages count a machine as in touch once the system has been calm for stability-ms.
        Thread.sleep(4_500);
    }

    /** Returns the database that ran a statement, from its signature. */
    static Db database(Rig rig, String signature) {
        return rig.databases.stream().filter(d -> signature.startsWith(d.id + ".")).findFirst().orElse(null);
    }

    /** Statement of a transaction: its answer, and how long after the order it was sent. */
    record Step(String text, Client.Answer answer, long sentMillis, Db database) {
        String describe() {
            return text + " sent " + sentMillis + " ms after the acknowledgement: "
                    + (answer.ok() ? "run by " + database.id + " in " + database.zone : "ERR " + answer.error());
        }
    }

    static Step step(Rig rig, Client client, String text, long orderNanos) throws IOException {
        long sent = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - orderNanos);
        Client.Answer answer = client.query(text);
        Step step = new Step(text, answer, sent, answer.ok() ? database(rig, answer.done()) : null);
        rig.record(step.describe());
        return step;
    }
}
