package review3;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** All processes that serve control are killed during the first start and start again at once. */
public final class FirstStart {
    private static final String DATABASE = "xapu221ny95";
    private static final String KEY = "u6wsjnbanfqasnmgkcuy";
    /** Time from the start of the processes to the kill. */
    private static final long KILL_MILLIS = 500;

    private static final int LIMIT_SECONDS = 60;

    private FirstStart() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, FirstStart::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        rig.addService("huvo11a", 5, 54, 20);
        rig.start(3, 3);
        Thread.sleep(KILL_MILLIS);
        if (trouble) {
            rig.role("control").forEach(Rig.Proc::kill);
        }
        String configuration =
                Rig.configuration(
                        3,
                        List.of(Rig.route(DATABASE, "bounded_staleness", "huvo11a", 3000)),
                        List.of(Rig.service("huvo11a", 54)),
                        List.of(Rig.tenant("nypu920", KEY, 100)));
        // The first configuration is sent again until it is accepted.
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        int status = 0;
        int sent = 0;
        while (status / 100 != 2 && System.nanoTime() < until) {
            status = rig.call(sent++, "PUT", "/config", configuration);
            if (sent % 100 == 1 || status / 100 == 2) {
                rig.record("PUT /config, sending " + sent + ": " + (status == 0 ? "no response" : status));
            }
            Thread.sleep(200);
        }
        if (status / 100 != 2) {
            rig.record("the first configuration was not acknowledged in " + LIMIT_SECONDS + " s, so no request is served");
            for (Rig.Proc p : rig.role("control")) {
                rig.recordLog(p, "starts with an empty folder", 3);
                rig.recordLog(p, "no leader for", 1);
            }
            return false;
        }
        try {
            rig.awaitServing(rig.role("entry"), DATABASE, KEY, "READ 1a4", 20_000);
        } catch (Rig.CannotRun e) {
            rig.record(e.getMessage());
            return false;
        }
        return true;
    }
}
