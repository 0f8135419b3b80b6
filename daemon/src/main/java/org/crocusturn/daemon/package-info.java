/** The daemons and the program that starts them; start at {@code Main}. */
package org.crocusturn.daemon;
