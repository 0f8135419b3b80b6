package org.crocusturn.standin.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.crocusturn.daemon.Main;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.operators.ExitStatus;
import org.crocusturn.standin.database.Behaviour;

/** Measures a local deployment and compares the figures with their targets. */
public final class MeasureMain {
    private static final Map<String, Scenario> SCENARIOS =
            List.<Scenario>of(
                            new FailoverScenario(),
                            new FairnessScenario(),
                            new LimitsScenario(),
                            new ReadsScenario(),
                            new DataCentreScenario(),
                            new OverheadScenario())
                    .stream()
                    .collect(Collectors.toMap(Scenario::name, Function.identity()));

    private MeasureMain() {}

    /** Runs one scenario; the exit status is 1 if a target was missed. */
    public static void main(String[] arguments) throws IOException {
        Main.configureLogFormat();
        ArgumentParser parser = parser();
        try {
            System.exit(run(parser.parseArgs(arguments)).code());
        } catch (HelpScreenException e) {
            System.exit(ExitStatus.DONE.code());
        } catch (ArgumentParserException e) {
            parser.handleError(e, new java.io.PrintWriter(System.err, true));
            System.exit(ExitStatus.USAGE.code());
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("measure")
                        .build()
                        .description("Measures a deployment under load within one process.")
                        .epilog("Example: measure failover --deployment amman --seed 7");
        parser.addArgument("scenario").choices(SCENARIOS.keySet()).help("scenario to run");
        parser.addArgument("--deployment")
                .required(true)
                .choices("amman", "zuid-holland")
                .help("deployment to start, a subfolder of examples");
        parser.addArgument("--seed")
                .type(Long.class)
                .setDefault(1L)
                .help("seed of the random load");
        parser.addArgument("--seconds").type(Integer.class).help("duration of the load in seconds");
        parser.addArgument("--factor")
                .type(Double.class)
                .help("multiplies the configured rates and bursts, so that the stand-in keeps up");
        parser.addArgument("--json")
                .action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
                .help("print the figures as JSON");
        return parser;
    }

    private static ExitStatus run(Namespace arguments) throws IOException {
        Scenario scenario = SCENARIOS.get(arguments.getString("scenario"));
        Integer seconds = arguments.getInt("seconds");
        Double factor = arguments.getDouble("factor");
        MeasureOptions options =
                new MeasureOptions(
                        arguments.getString("deployment"),
                        arguments.getLong("seed"),
                        Duration.ofSeconds(seconds == null ? scenario.defaultSeconds() : seconds),
                        factor == null ? scenario.defaultRateFactor() : factor);
        List<Figure> figures = measure(scenario, options);
        if (arguments.getBoolean("json")) {
            System.out.println(toJson(scenario, options, figures));
        } else {
            System.out.printf(
                    "%s, %s, seed %d, %d s, rates x %s%n",
                    scenario.name(),
                    options.deployment(),
                    options.seed(),
                    options.duration().toSeconds(),
                    options.rateFactor());
            figures.forEach(System.out::println);
        }
        return figures.stream().allMatch(Figure::passed) ? ExitStatus.DONE : ExitStatus.REFUSED;
    }

    private static List<Figure> measure(Scenario scenario, MeasureOptions options)
            throws IOException {
        DeploymentTimes times = DeploymentTimes.of(options.deployment());
        Behaviour behaviour =
                Behaviour.NORMAL
                        .withConnectMillis(times.connectMillis())
                        .withLagMillis(scenario.replicaLagMillis(times));
        Path file =
                Path.of(System.getProperty("crocusturn.root", "."))
                        .resolve("examples")
                        .resolve(options.deployment())
                        .resolve("configuration.yaml");
        try (Testbed testbed = Testbed.start(file, options.rateFactor(), behaviour)) {
            if (scenario.needsWarmUp()) {
                testbed.warmUp();
            }
            return scenario.measure(testbed, options, progress());
        }
    }

    private static Consumer<String> progress() {
        boolean terminal = System.console() != null;
        return text -> {
            if (terminal) {
                System.err.println("measure: " + text);
            }
        };
    }

    private static ObjectNode toJson(
            Scenario scenario, MeasureOptions options, List<Figure> figures) {
        ObjectNode node =
                Json.object()
                        .put("scenario", scenario.name())
                        .put("deployment", options.deployment())
                        .put("seed", options.seed())
                        .put("seconds", options.duration().toSeconds())
                        .put("factor", options.rateFactor())
                        .put("passed", figures.stream().allMatch(Figure::passed));
        var list = node.putArray("figures");
        figures.forEach(f -> list.add(f.toJson()));
        return node;
    }
}
