/**
 * Callers that record what they saw, and the checker of their records; start at {@link
 * org.crocusturn.standin.history.HistoryChecker}.
 */
package org.crocusturn.standin.history;
