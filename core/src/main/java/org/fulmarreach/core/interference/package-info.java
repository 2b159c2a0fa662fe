/** Limits the harm that batch work does to the service on the same VM. */
package org.fulmarreach.core.interference;
