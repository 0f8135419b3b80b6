package org.crocusturn.core.operators;

/** Specifies which host promotes the primaries of a service's groups. */
public enum PromotionMode {
    /** The control leader fences the copies and promotes one of them. */
    CONTROL_LEADER,
    /** The leaseholder requests a promotion from the platform under its lease epoch. */
    LEASEHOLDER
}
