/** HTTP and framing helpers shared by the packages of the peers; start at {@link HttpServer}. */
package org.crocusturn.daemon.net;
