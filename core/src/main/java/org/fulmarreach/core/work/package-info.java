/** Ownership and placement of batch and standing work: the fold of a shard's stream and its leader's decisions. */
package org.fulmarreach.core.work;
