/**
 * Load generator that records the operations of its callers, and a consistency check of the
 * recorded history; start at {@link org.crocusturn.standin.history.HistoryChecker}.
 */
package org.crocusturn.standin.history;
