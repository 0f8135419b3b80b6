package org.review;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** A client writes a text that contains a line feed; the protocol ends lines with CR LF. */
final class CaseLineFeed {
    private CaseLineFeed() {}

    public static void main(String[] args) throws Exception {
        int code;
        try (Env env = new Env(Path.of(args[0]))) {
            code = run(env);
            env.record("exit " + code);
        }
        System.exit(code);
    }

    private static int run(Env env) throws Exception {
        Service service = env.addService("huvo11a");
        env.startPlatform();
        env.startSystem(2);
        if (!env.callUntilAcknowledged("PUT", "/config", env.configuration(7), 20_000)) {
            env.record("the configuration was not acknowledged");
            return 2;
        }
        service.startAll();
        if (!CaseLeavingReplica.waitFor(() -> write(env, "w0", "first").equals("DONE"), 25_000)) {
            env.record("no writes were served");
            return 2;
        }
        String separator = env.trouble ? "\n" : " ";
        String smuggled = Client.newId();
        List<String> texts =
                List.of(
                        "tank cleaned" + separator + "lid cracked, do not use",
                        "refilled" + separator + "QUERY " + smuggled + " WRITE w9 nobody");
        Set<String> sent = new java.util.HashSet<>();
        int n = 1;
        for (String text : texts) {
            sent.add("WRITE w" + n + " " + text);
            write(env, "w" + n++, text);
        }
        Env.sleep(1_000);
        int broken = 0;
        for (Service.Run run : service.runs) {
            boolean known = run.text().equals("WRITE w0 first") || sent.contains(run.text());
            env.record(
                    "database "
                            + run.database()
                            + " ran "
                            + run.queryId()
                            + " "
                            + show(run.text())
                            + (known ? "" : ": no client sent this text"));
            broken += known ? 0 : 1;
        }
        String ids =
                service.runs.stream().map(Service.Run::queryId).collect(Collectors.joining(" "));
        if (ids.contains(smuggled)) {
            env.record("UNASKED: " + smuggled + " was smuggled inside another request");
        }
        System.out.println("statements that no client sent: " + broken);
        return broken == 0 ? 0 : 1;
    }

    private static String show(String text) {
        return text.replace("\n", "<LF>").replace("\r", "<CR>");
    }

    private static String write(Env env, String item, String text) {
        String id = Client.newId();
        String result;
        try (Client client =
                new Client(env.entryIp(1), env.frontendPort, "p-huvo11a", Env.KEY)) {
            Client.Answer answer = client.query(id, "WRITE " + item + " " + text);
            result = answer.ok() ? "DONE" : "ERR " + answer.error();
        } catch (java.io.IOException e) {
            result = e.getMessage();
        }
        env.record("client sent " + id + " WRITE " + item + " " + show(text) + " -> " + result);
        Env.sleep(200);
        return result;
    }
}
