/** The daemons and the program that starts them; the entry point is {@code Main}. */
package org.crocusturn.daemon;
