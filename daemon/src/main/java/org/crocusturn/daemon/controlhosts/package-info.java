/** Connects to control hosts, runs the consensus group and stores its replicated log. */
package org.crocusturn.daemon.controlhosts;
