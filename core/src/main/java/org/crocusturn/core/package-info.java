/** Identifiers, verdicts and errors shared by all coordination parts; start at {@link Verdict}. */
package org.crocusturn.core;
