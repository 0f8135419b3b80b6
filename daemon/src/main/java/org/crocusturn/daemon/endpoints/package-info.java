/** HTTP client of the databases and receiver of their announcements. */
package org.crocusturn.daemon.endpoints;
