/** Bounded rings and the duty threads that they connect; start at {@link BoundedRing}. */
package org.crocusturn.core.ring;
