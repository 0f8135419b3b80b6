package review3;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A new configuration gives a route the lowest priority, and clients go on reading. */
public final class LowestPriority {
    private static final String DATABASE = "xapu221ny95";
    private static final String KEY = "u6wsjnbanfqasnmgkcuy";

    private LowestPriority() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, LowestPriority::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        rig.addService("huvo11a", 5, 54, 20);
        rig.start(3, 3);
        rig.configure(configuration(3, "2"), 30_000);
        List<Rig.Proc> entries = rig.role("entry");
        rig.awaitServing(entries, DATABASE, KEY, "READ 1a4", 20_000);
        Thread.sleep(4_500);
        rig.configure(configuration(9, trouble ? "2147483647" : "3"), 10_000);
        int served = 0;
        int sent = 0;
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(80);
        while (sent < 400 && System.nanoTime() < until && rig.machinesWithThreeEnds() < 2) {
            Rig.Proc entry = entries.get(sent % entries.size());
            try (Client client = new Client(entry.ip, Rig.CALLER, DATABASE, KEY)) {
                sent++;
                served += client.query("READ 1a4").ok() ? 1 : 0;
            } catch (IOException e) {
                // The host has ended, or refuses.
            }
            Thread.sleep(100);
        }
        rig.record("sent " + sent + " reads after the change, " + served + " succeeded");
        Thread.sleep(1_000);
        rig.recordOwnEnds("Exception");
        return rig.machinesWithThreeEnds() < 2;
    }

    private static String configuration(int version, String priority) {
        return Rig.configuration(
                version,
                List.of(
                        Rig.route(DATABASE, "bounded_staleness", "huvo11a", 3000)
                                .replace("\"priority\":1", "\"priority\":" + priority)),
                List.of(Rig.service("huvo11a", 54)),
                List.of(Rig.tenant("nypu920", KEY, 100)));
    }
}
