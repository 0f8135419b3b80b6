package review3;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry host is killed while the first reads of many transactions of its clients wait. */
public final class LostCrowd {
    private static final int SESSIONS = 380;
    private static final String KEY = "u6wsjnbanfqasnmgkcuy";
    private static final String DATABASE = "xapu221ny95";

    /** Once so many have run, the others have reached the leaseholder. */
    private static final int RUNS_BEFORE_KILL = 8;

    private LostCrowd() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, LostCrowd::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        rig.addService("huvo11a", 5, 54, 55);
        rig.start(3, 3);
        rig.configure(
                Rig.configuration(
                        3,
                        List.of(Rig.route(DATABASE, "bounded_staleness", "huvo11a", 8000)),
                        List.of(Rig.service("huvo11a", 54)),
                        List.of(Rig.tenant("nypu920", KEY, 1000))),
                30_000);
        List<Rig.Proc> entries = rig.role("entry");
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(88);
        for (int round = 1; round <= 12 && System.nanoTime() < until && rig.machinesWithThreeEnds() < 2; round++) {
            rig.awaitServing(entries, DATABASE, KEY, "READ 1a4", 20_000);
            Thread.sleep(1_000);
            Rig.Proc holder = rig.holder("huvo11a");
            Rig.Proc other = entries.stream().filter(p -> p != holder).findFirst().orElseThrow();
            ordinaryClients(other);
            crowd(rig, other, trouble);
        }
        Thread.sleep(1_000);
        rig.recordOwnEnds("Error");
        return rig.machinesWithThreeEnds() < 2;
    }

    /** Lets a few clients run read-only transactions for a while. */
    private static void ordinaryClients(Rig.Proc host) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(3_000);
        for (int i = 0; i < 12; i++) {
            Rig.thread(
                    "ordinary-client",
                    () -> {
                        try (Client client = new Client(host.ip, Rig.CALLER, DATABASE, KEY)) {
                            while (System.nanoTime() < until) {
                                client.query("BEGIN READ");
                                client.query("READ 1a4");
                                client.query("COMMIT");
                            }
                        }
                    });
        }
        Thread.sleep(3_200);
    }

    private static int runs(Rig rig) {
        return rig.databases.stream().mapToInt(db -> db.runs.size()).sum();
    }

    /** Lets many clients read at the same time, and kills their entry host. */
    private static void crowd(Rig rig, Rig.Proc host, boolean kills) throws Exception {
        CountDownLatch open = new CountDownLatch(SESSIONS);
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch end = new CountDownLatch(SESSIONS);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        for (int i = 0; i < SESSIONS; i++) {
            Rig.thread(
                    "client",
                    () -> {
                        try (Client client = new Client(host.ip, Rig.CALLER, DATABASE, KEY)) {
                            client.query("BEGIN READ");
                            open.countDown();
                            go.await();
                            (client.query("READ 1a4").ok() ? answered : refused).incrementAndGet();
                            client.query("ROLLBACK");
                        } catch (IOException e) {
                            cut.incrementAndGet();
                        } finally {
                            end.countDown();
                        }
                    });
        }
        if (!open.await(10, TimeUnit.SECONDS)) {
            throw new Rig.CannotRun(open.getCount() + " sessions did not open");
        }
        rig.record(SESSIONS + " sessions with an open transaction at " + host.name + " read");
        int before = runs(rig);
        go.countDown();
        long latest = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1_000);
        while (runs(rig) < before + RUNS_BEFORE_KILL && System.nanoTime() < latest) {
            Thread.sleep(2);
        }
        rig.record("the databases have run " + (runs(rig) - before) + " of the reads");
        if (kills) {
            host.kill();
        }
        if (!end.await(10, TimeUnit.SECONDS)) {
            rig.record(end.getCount() + " sessions got no answer in 10 s");
        }
        rig.record("answered " + answered + ", refused " + refused + ", cut off " + cut);
        Thread.sleep(1_500);
    }
}
