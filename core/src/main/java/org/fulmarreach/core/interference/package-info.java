/** Limits the interference of batch work with the service on the same VM by throttling and eviction. */
package org.fulmarreach.core.interference;
