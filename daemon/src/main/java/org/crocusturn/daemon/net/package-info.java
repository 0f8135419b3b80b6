/** HTTP and authenticated links, shared by the packages of the peers. */
package org.crocusturn.daemon.net;
