/**
 * Ownership and placement of batch and standing work: the state of a shard, replayed from its stream, and the decisions
 * of its leader.
 */
package org.fulmarreach.core.work;
