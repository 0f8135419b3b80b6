package org.crocusturn.standin.measure;

/**
 * Are the times of a deployment that the stand-in imitates, from section 1.7 of the design.
 *
 * @param connectMillis time of opening a connection
 * @param replicaLagMillis lag of a replica: the way between two data centres and back, rounded up
 */
public record DeploymentTimes(long connectMillis, long replicaLagMillis) {
    /** Returns the times of a deployment by its name. */
    public static DeploymentTimes of(String deployment) {
        return switch (deployment) {
            case "amman" -> new DeploymentTimes(10, 3);
            case "zuid-holland" -> new DeploymentTimes(30, 2);
            default ->
                    throw new IllegalArgumentException(
                            "deployment \"" + deployment + "\" is unknown");
        };
    }
}
