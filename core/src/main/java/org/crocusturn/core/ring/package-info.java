/** Bounded rings and the threads that they join; start at {@link BoundedRing}. */
package org.crocusturn.core.ring;
