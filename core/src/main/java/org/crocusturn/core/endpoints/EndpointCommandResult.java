package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;

/**
 * The result of an {@link EndpointCommand}.
 *
 * @param command the command
 * @param status status of the copy after the command; empty if the command failed or was not
 *     answered
 */
public record EndpointCommandResult(EndpointCommand command, Optional<CopyStatus> status) {
    /** Rejects null components. */
    public EndpointCommandResult {
        Objects.requireNonNull(command, "command");
        Objects.requireNonNull(status, "status");
    }
}
