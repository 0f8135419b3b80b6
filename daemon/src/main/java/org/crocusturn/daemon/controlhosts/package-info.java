/** Links to and between control hosts, and the files of the replicated log. */
package org.crocusturn.daemon.controlhosts;
