/**
 * Interface of an entry host to its callers; {@link org.crocusturn.daemon.callers.CallerFrontEnd}
 * is the entry point.
 */
package org.crocusturn.daemon.callers;
