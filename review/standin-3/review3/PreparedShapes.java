package review3;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One client prepares and runs statements with long shapes, one after the other. */
public final class PreparedShapes {
    private static final int STATEMENTS = 500;
    /** Each line stays below 1 MiB. */
    private static final int LONG_SHAPE = 1_000_000;
    private static final int SHORT_SHAPE = 1_000;

    private PreparedShapes() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, PreparedShapes::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        String key = "u6wsjnbanfqasnmgkcuy";
        rig.addService("wuno96b", 5, 54, 5);
        rig.start(3, 3);
        rig.configure(
                Rig.configuration(
                        3,
                        List.of(Rig.route("lepu270", "read_your_writes", "wuno96b", 3000)),
                        List.of(Rig.service("wuno96b", 54)),
                        List.of(Rig.tenant("nypu920", key, 500))),
                30_000);
        List<Rig.Proc> entries = rig.role("entry");
        rig.awaitServing(entries, "lepu270", key, "READ 1a4", 30_000);
        String padding = "q".repeat(trouble ? LONG_SHAPE : SHORT_SHAPE);
        int answered = 0;
        int n = 0;
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(90);
        for (int host = 0; n < STATEMENTS && System.nanoTime() < until && rig.machinesWithThreeEnds() < 2; host++) {
            Rig.Proc entry = entries.get(host % entries.size());
            try (Client client = new Client(entry.ip, Rig.CALLER, "lepu270", key)) {
                boolean served = true;
                while (served && n < STATEMENTS && System.nanoTime() < until) {
                    n++;
                    Client.Answer prepared = client.query("PREPARE s1 READ shape-" + n + "-" + padding);
                    Client.Answer answer = client.query("EXEC s1 1a4");
                    served = prepared.ok() && answer.ok();
                    answered += served ? 1 : 0;
                    if (!served) {
                        rig.record("statement " + n + " at " + entry.name + ": " + prepared.error() + answer.error());
                    }
                }
            } catch (IOException e) {
                rig.record("statement " + n + " at " + entry.name + ": " + e.getMessage());
            }
            Thread.sleep(500);
        }
        rig.record("one client sent " + n + " statements one after the other; " + answered + " succeeded");
        Thread.sleep(1_000);
        rig.recordOwnEnds("OutOfMemoryError");
        return rig.machinesWithThreeEnds() < 2;
    }
}
