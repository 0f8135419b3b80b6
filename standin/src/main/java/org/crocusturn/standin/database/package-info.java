/**
 * Stand-in database that implements the protocol of docs/database-protocol.md. The entry point is
 * {@link org.crocusturn.standin.database.StandInDatabase}.
 */
package org.crocusturn.standin.database;
