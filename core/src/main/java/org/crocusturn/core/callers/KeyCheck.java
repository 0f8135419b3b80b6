package org.crocusturn.core.callers;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.KeyRecord;

/**
 * The result of checking a caller's key: its workspace, or the reason for rejecting it.
 *
 * @param workspace workspace that the key belongs to; empty if the key is rejected
 * @param failure reason for rejecting the key; empty if it is in force
 */
public record KeyCheck(Optional<WorkspaceId> workspace, Optional<Failure> failure) {
    /** Checks that exactly one component is present. */
    public KeyCheck {
        if (workspace.isPresent() == failure.isPresent()) {
            throw new IllegalArgumentException(
                    "a key check must have either a workspace or a failure");
        }
    }

    /**
     * Checks the hash of a key against the keys in force.
     *
     * @param state replicated state
     * @param hash SHA-256 of the key in lower-case hexadecimal; empty if the caller sent no key
     */
    public static KeyCheck of(ControlState state, String hash) {
        Objects.requireNonNull(hash, "hash");
        KeyRecord key = state.keys().get(hash);
        if (key == null) {
            return refused(hash.isEmpty() ? "the key is missing" : "the key is not in force");
        }
        return state.configuration().workspace(key.workspace()).isPresent()
                ? new KeyCheck(Optional.of(key.workspace()), Optional.empty())
                : refused("the workspace of the key does not exist");
    }

    private static KeyCheck refused(String message) {
        return new KeyCheck(
                Optional.empty(), Optional.of(Failure.notRun(ErrorCode.KEY_REFUSED, message)));
    }
}
