package org.crocusturn.standin.database;

import org.crocusturn.core.ring.Duty;

/**
 * A database and the threads that serve it.
 *
 * @param copy the database
 * @param slots threads that run statements
 * @param sessionDuty thread that opens and closes sessions and begins and ends transactions
 * @param replication thread that pulls entries from the primary
 */
record ServedDatabase(
        DatabaseCopy copy,
        StatementSlots slots,
        Duty<Runnable> sessionDuty,
        Duty<ReplicationEvent> replication) {}
