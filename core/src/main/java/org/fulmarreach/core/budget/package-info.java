/** The shared budget: the ledger that is replayed from the stream "budget", and the purse of an entry. */
package org.fulmarreach.core.budget;
