package org.crocusturn.core.platform;

/** What the reporting of usage counts for operators. */
public enum UsageMetric {
    /** Windows that were closed. */
    WINDOWS_CLOSED,
    /** Windows that were given up without an acknowledgement. */
    WINDOWS_GIVEN_UP,
    /** Reports that the platform acknowledged in time. */
    REPORTS_ACKNOWLEDGED,
    /** Reports that the platform acknowledged late. */
    REPORTS_ACKNOWLEDGED_LATE,
    /** Calls that the platform refused. */
    CALLS_REFUSED,
    /** Calls without a usable answer. */
    CALLS_UNANSWERED,
    /** Requests whose counts arrived after their window was closed. */
    LATE_REQUESTS
}
