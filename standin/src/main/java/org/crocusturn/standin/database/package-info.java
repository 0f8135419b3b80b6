/**
 * Stand-in database that speaks docs/database-protocol.md; start at {@link
 * org.crocusturn.standin.database.StandInDatabase}.
 */
package org.crocusturn.standin.database;
