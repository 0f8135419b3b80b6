package review3;

import java.io.IOException;
import java.util.List;

/** A key is taken away while a client that uses it has a transaction open. */
public final class WithdrawnKey {
    /** config-apply-ms; revoke-ms is longer. */
    private static final long APPLY_MILLIS = 5_000;

    private WithdrawnKey() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, WithdrawnKey::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        LongTransaction.start(rig, "lepu270", "primary");
        Rig.Proc entry = rig.role("entry").get(0);
        boolean held = true;
        try (Client client = new Client(entry.ip, Rig.CALLER, "lepu270", LongTransaction.KEY)) {
            client.query("BEGIN");
            Client.Answer first = client.query("WRITE 1a4 xkqpwnzd");
            if (!first.ok()) {
                throw new Rig.CannotRun("the transaction did not begin: " + first.error());
            }
            rig.record("a transaction at " + entry.name + " has begun");
            rig.configure(
                    LongTransaction.configuration(
                            9, "lepu270", "primary",
                            trouble ? List.of(LongTransaction.OTHER_KEY) : List.of(LongTransaction.KEY, LongTransaction.OTHER_KEY)),
                    10_000);
            long order = System.nanoTime();
            try {
                for (int n = 2; n <= LongTransaction.STATEMENTS; n++) {
                    Thread.sleep(LongTransaction.PAUSE_MILLIS);
                    String text = n == LongTransaction.STATEMENTS ? "COMMIT" : "WRITE " + n + "a4 xkqpwnzd";
                    LongTransaction.Step step = LongTransaction.step(rig, client, text, order);
                    held &= !trouble || step.sentMillis() <= APPLY_MILLIS || !step.answer().ok();
                    if (!step.answer().ok()) {
                        break;
                    }
                }
            } catch (IOException e) {
                rig.record("the connection ended: " + e.getMessage());
            }
        }
        try (Client client = new Client(entry.ip, Rig.CALLER, "lepu270", LongTransaction.KEY)) {
            rig.record("a new session with the key: READY");
        } catch (IOException e) {
            rig.record("a new session with the key: " + e.getMessage());
        }
        return held;
    }
}
