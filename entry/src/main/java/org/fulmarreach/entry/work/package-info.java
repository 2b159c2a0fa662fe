/** Leaders of the shards of batch and standing work. */
package org.fulmarreach.entry.work;
