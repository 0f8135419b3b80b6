package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A tenant that a new configuration adds, by its name, and what databases are told of its reads. */
public final class TenantName {
    private static final String DATABASE = "xapu221ny95";
    private static final String KEY = "u6wsjnbanfqasnmgkcuy";
    private static final String NEW_KEY = "j8pjbvk9m68k7b2ex5wa";
    private static final int RATE = 20;
    private static final int WINDOW_S = 5;
    /** (rate x window + burst) x (1 + quota-overage) + quota-slack. */
    private static final double MOST = (RATE * WINDOW_S + RATE) * 1.1 + 20;

    private TenantName() {}

    public static void main(String[] args) throws Exception {
        Rig.main(args, TenantName::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        String name = trouble ? "anyone" : "lony11";
        rig.addService("huvo11a", 5, 54, 5);
        rig.start(3, 3);
        List<String> routes = List.of(Rig.route(DATABASE, "bounded_staleness", "huvo11a", 3000));
        List<String> services = List.of(Rig.service("huvo11a", 54));
        String tenant = Rig.tenant("nypu920", KEY, 500);
        rig.configure(Rig.configuration(3, routes, services, List.of(tenant)), 30_000);
        List<Rig.Proc> entries = rig.role("entry");
        rig.awaitServing(entries, DATABASE, KEY, "READ 1a4", 20_000);
        rig.record("a new configuration adds the tenant " + name + " with rate-per-s " + RATE);
        rig.configure(
                Rig.configuration(9, routes, services, List.of(tenant, Rig.tenant(name, NEW_KEY, RATE))), 30_000);
        Thread.sleep(4_000);
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * WINDOW_S);
        List<Thread> clients = new ArrayList<>();
        List<String> own = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < 9; i++) {
            Rig.Proc entry = entries.get(i % entries.size());
            clients.add(
                    Rig.thread(
                            "client",
                            () -> {
                                while (System.nanoTime() < until) {
                                    try (Client client = new Client(entry.ip, Rig.CALLER, DATABASE, NEW_KEY)) {
                                        while (System.nanoTime() < until) {
                                            String id = Client.newId();
                                            client.query(id, "READ 1a4");
                                            own.add(id);
                                            Thread.sleep(10);
                                        }
                                    } catch (IOException e) {
                                        Thread.sleep(50);
                                    }
                                }
                            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        Map<String, Integer> told = new TreeMap<>();
        List<Long> times = new ArrayList<>();
        for (Db db : rig.databases) {
            db.runsByTenant.forEach((t, list) -> told.merge(t, list.size(), Integer::sum));
            for (String t : List.of(name, "-")) {
                times.addAll(db.runsByTenant.getOrDefault(t, List.of()));
            }
        }
        Collections.sort(times);
        long window = TimeUnit.SECONDS.toNanos(WINDOW_S);
        int most = 0;
        for (int i = 0, j = 0; i < times.size(); i++) {
            while (times.get(i) - times.get(j) > window) {
                j++;
            }
            most = Math.max(most, i - j + 1);
        }
        rig.record("runs at the databases by the tenant that START named: " + told);
        rig.record("the clients of " + name + " sent " + own.size() + " reads with its key");
        rig.record("most runs of " + name + " in " + WINDOW_S + " s: " + most + ", allowed " + MOST);
        return !told.containsKey("-") && most <= MOST;
    }
}
