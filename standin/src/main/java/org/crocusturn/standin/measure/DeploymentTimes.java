package org.crocusturn.standin.measure;

/**
 * The latencies of a deployment that the stand-in simulates, from section 1.7 of the design.
 *
 * @param connectMillis time to open a connection
 * @param replicaLagMillis replica lag: the round-trip time between two data centres, rounded up
 */
public record DeploymentTimes(long connectMillis, long replicaLagMillis) {
    /** Returns the latencies of the named deployment. */
    public static DeploymentTimes of(String deployment) {
        return switch (deployment) {
            case "amman" -> new DeploymentTimes(10, 3);
            case "zuid-holland" -> new DeploymentTimes(30, 2);
            default ->
                    throw new IllegalArgumentException("unknown deployment \"" + deployment + "\"");
        };
    }
}
