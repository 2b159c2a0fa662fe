/** Measured slopes of messages, processor time and memory for docs/CAPACITY.md. */
package org.fulmarreach.bench.slopes;
