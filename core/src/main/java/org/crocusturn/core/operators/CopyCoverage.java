package org.crocusturn.core.operators;

/**
 * Whether every acknowledged commit of a group is in the logs of two of its announced endpoints.
 *
 * <p>Only a leaseholder that serves with the primary can find that out. The result is kept in the
 * replicated state, so that a later leaseholder that finds no primary knows what it may conclude
 * from the logs of the others.
 *
 * @param lostVersion version of the state in which an endpoint of the group was last lost together
 *     with its log; 0 if none was
 * @param confirmedVersion latest version of the state for which a leaseholder confirmed that all
 *     acknowledged commits were in the logs of the primary and of an announced replica; 0 if none
 *     did
 */
public record CopyCoverage(long lostVersion, long confirmedVersion) {
    /** The coverage of a group that has had no leaseholder. */
    public static final CopyCoverage UNKNOWN = new CopyCoverage(0, 0);

    /** Rejects negative versions. */
    public CopyCoverage {
        if (lostVersion < 0 || confirmedVersion < 0) {
            throw new IllegalArgumentException("versions must not be negative");
        }
    }

    /** Returns whether no endpoint was lost since a leaseholder confirmed the coverage. */
    public boolean isConfirmed() {
        return confirmedVersion > 0 && confirmedVersion >= lostVersion;
    }

    /** Returns a copy after an endpoint was lost. */
    CopyCoverage withLoss(long version) {
        return new CopyCoverage(version, confirmedVersion);
    }

    /** Returns a copy after a leaseholder confirmed the coverage. */
    CopyCoverage withConfirmed(long version) {
        return new CopyCoverage(lostVersion, Math.max(confirmedVersion, version));
    }
}
