package org.crocusturn.standin.bench;

import java.util.Arrays;
import java.util.Collection;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;
import org.openjdk.jmh.util.Statistics;

/** Runs JMH benchmarks, or prints encoded sizes or the footprint of deployments. */
public final class BenchMain {
    private static final int WARMUP_ITERATIONS = 2;
    private static final int MEASUREMENT_ITERATIONS = 4;
    private static final String ALLOCATION_RESULT = "gc.alloc.rate.norm";

    private BenchMain() {}

    /**
     * Runs "footprint", "sizes", or the benchmarks whose names match any of the arguments; without
     * arguments, all benchmarks.
     */
    public static void main(String[] arguments) throws RunnerException {
        if (arguments.length > 0 && arguments[0].equals("footprint")) {
            Configurator.setRootLevel(Level.ERROR);
            Footprint.print(System.out);
        } else if (arguments.length > 0 && arguments[0].equals("sizes")) {
            EncodedSizes.print(System.out);
        } else {
            print(new Runner(options(arguments)).run());
        }
    }

    private static Options options(String[] patterns) {
        OptionsBuilder options = new OptionsBuilder();
        String bench = BenchMain.class.getPackageName() + ".*";
        Arrays.stream(patterns.length == 0 ? new String[] {bench} : patterns)
                .forEach(options::include);
        return options.mode(Mode.AverageTime)
                .timeUnit(TimeUnit.NANOSECONDS)
                .warmupIterations(WARMUP_ITERATIONS)
                .warmupTime(TimeValue.seconds(1))
                .measurementIterations(MEASUREMENT_ITERATIONS)
                .measurementTime(TimeValue.seconds(1))
                .forks(1)
                .jvmArgs("-Xmx2g")
                .addProfiler(GCProfiler.class)
                .addProfiler(CpuTimeProfiler.class)
                .verbosity(VerboseMode.SILENT)
                .build();
    }

    private static void print(Collection<RunResult> results) {
        System.out.printf(
                "%-36s %-14s %14s %14s %14s %14s %12s%n",
                "benchmark",
                "parameters",
                "elapsed ns",
                "cpu median ns",
                "cpu least",
                "cpu most",
                "bytes");
        results.forEach(BenchMain::print);
    }

    private static void print(RunResult result) {
        Statistics times = result.getPrimaryResult().getStatistics();
        String[] name = result.getParams().getBenchmark().split("\\.");
        String parameters =
                result.getParams().getParamsKeys().stream()
                        .map(
                                k ->
                                        k.substring(1).toLowerCase(Locale.ROOT)
                                                + "="
                                                + result.getParams().getParam(k))
                        .toList()
                        .toString();
        Statistics cpuTimes = secondaryStatistics(result, CpuTimeProfiler.NAME);
        System.out.printf(
                "%-36s %-14s %,14.0f %,14.0f %,14.0f %,14.0f %,12.0f%n",
                name[name.length - 2].replace("Benchmark", "") + "." + name[name.length - 1],
                parameters,
                times.getPercentile(50),
                cpuTimes.getPercentile(50),
                cpuTimes.getMin(),
                cpuTimes.getMax(),
                secondaryStatistics(result, ALLOCATION_RESULT).getPercentile(50));
    }

    private static Statistics secondaryStatistics(RunResult result, String name) {
        return result.getSecondaryResults().entrySet().stream()
                .filter(e -> e.getKey().endsWith(name))
                .map(e -> (Statistics) e.getValue().getStatistics())
                .findFirst()
                .orElseThrow();
    }
}
