package org.crocusturn.core.operators;

/** Tells who moves the primary of a service's groups. */
public enum PromotionMode {
    /** The control leader fences the copies and promotes one of them itself. */
    CONTROL_LEADER,
    /** The leaseholder orders a promotion through the platform, under its lease epoch. */
    LEASEHOLDER
}
