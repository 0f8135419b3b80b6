/**
 * Identifiers, errors and persistent collections shared by all packages; start at {@link Verdict}.
 */
package org.crocusturn.core;
