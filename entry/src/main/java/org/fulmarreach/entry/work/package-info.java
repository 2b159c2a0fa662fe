/** Actors that follow and lead the shards of batch and standing work. */
package org.fulmarreach.entry.work;
