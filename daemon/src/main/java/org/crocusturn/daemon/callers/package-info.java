/**
 * Callers' side of an entry host; start at {@link org.crocusturn.daemon.callers.CallerFrontEnd}.
 */
package org.crocusturn.daemon.callers;
