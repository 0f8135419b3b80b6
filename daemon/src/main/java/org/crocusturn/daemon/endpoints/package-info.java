/** Communication with endpoints: connections, statements, status, failover, announcements. */
package org.crocusturn.daemon.endpoints;
