package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;

/**
 * Is what became of an {@link EndpointCommand}.
 *
 * @param command the command
 * @param status status of the copy after the command; empty if the command failed or got no answer
 */
public record EndpointCommandResult(EndpointCommand command, Optional<CopyStatus> status) {
    /** Checks that no part is null. */
    public EndpointCommandResult {
        Objects.requireNonNull(command, "command");
        Objects.requireNonNull(status, "status");
    }
}
