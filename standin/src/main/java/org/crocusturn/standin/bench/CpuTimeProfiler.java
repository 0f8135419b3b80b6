package org.crocusturn.standin.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import org.openjdk.jmh.infra.BenchmarkParams;
import org.openjdk.jmh.infra.IterationParams;
import org.openjdk.jmh.profile.InternalProfiler;
import org.openjdk.jmh.results.AggregationPolicy;
import org.openjdk.jmh.results.IterationResult;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.ScalarResult;

/**
 * Measures the CPU time of the benchmark thread per operation.
 *
 * <p>Unlike elapsed time, it excludes the wait for a core on a machine shared with other processes.
 */
public final class CpuTimeProfiler implements InternalProfiler {
    /** Name of the result, which is in nanoseconds per operation. */
    static final String NAME = "cpu.nanos";

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private long mStartNanos;

    @Override
    public String getDescription() {
        return "CPU time of the benchmark thread per operation";
    }

    @Override
    public void beforeIteration(BenchmarkParams benchmark, IterationParams iteration) {
        mStartNanos = workerCpuNanos();
    }

    @Override
    public Collection<? extends Result<?>> afterIteration(
            BenchmarkParams benchmark, IterationParams iteration, IterationResult result) {
        double nanos = workerCpuNanos() - mStartNanos;
        long operations = Math.max(1, result.getMetadata().getAllOps());
        return List.of(new ScalarResult(NAME, nanos / operations, "ns/op", AggregationPolicy.AVG));
    }

    private static long workerCpuNanos() {
        return Arrays.stream(THREADS.getThreadInfo(THREADS.getAllThreadIds()))
                .filter(t -> t != null && t.getThreadName().contains("jmh-worker"))
                .mapToLong(t -> Math.max(0, THREADS.getThreadCpuTime(t.getThreadId())))
                .sum();
    }
}
