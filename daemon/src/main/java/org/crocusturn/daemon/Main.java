package org.crocusturn.daemon;

import org.crocusturn.daemon.operators.CommandLine;
import org.crocusturn.daemon.operators.DaemonCommands;
import org.crocusturn.daemon.settings.ControlSettings;
import org.crocusturn.daemon.settings.EntrySettings;

/** Is the program {@code crocusturn}. */
public final class Main {
    private Main() {}

    /** Runs one command and exits with its status. */
    public static void main(String[] arguments) {
        chooseLogFormat();
        DaemonCommands daemons =
                new DaemonCommands() {
                    @Override
                    public void runEntry(EntrySettings settings) {
                        throw new IllegalArgumentException("not available yet");
                    }

                    @Override
                    public void runControl(ControlSettings settings) {
                        throw new IllegalArgumentException("not available yet");
                    }
                };
        System.exit(
                CommandLine.create(daemons, System.getenv(), System.out, System.err)
                        .run(arguments)
                        .code());
    }

    /** Has to run before the first logger is made, because Log4j reads its settings only once. */
    public static void chooseLogFormat() {
        String format = System.getenv().getOrDefault("CROCUSTURN_LOG", "text");
        if (format.equals("json")) {
            System.setProperty("log4j2.configurationFile", "classpath:log4j2-json.xml");
        }
    }
}
