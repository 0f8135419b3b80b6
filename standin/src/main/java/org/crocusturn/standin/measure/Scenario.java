package org.crocusturn.standin.measure;

import java.util.List;
import java.util.function.Consumer;

/** A measurement of a deployment under a specific load. */
public interface Scenario {
    /** Returns the name that selects the scenario on the command line. */
    String name();

    /** Returns the default duration of the load in seconds. */
    int defaultSeconds();

    /** Returns the minimum age of a log entry, in milliseconds, at which a replica applies it. */
    default long replicaLagMillis(DeploymentTimes times) {
        return times.replicaLagMillis();
    }

    /** Returns whether an unmeasured warm-up load is sent first. */
    default boolean needsWarmUp() {
        return true;
    }

    /** Returns the default factor by which configured rates and bursts are multiplied. */
    default double defaultRateFactor() {
        return 0.5;
    }

    /**
     * Runs the scenario.
     *
     * @param testbed deployment to measure
     * @param options options of the run
     * @param progress receives progress messages
     */
    List<Figure> measure(Testbed testbed, MeasureOptions options, Consumer<String> progress);
}
