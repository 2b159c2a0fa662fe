/** Connections to the other entries. */
package org.fulmarreach.entry.peers;
