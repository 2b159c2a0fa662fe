/** Connections to the other entries (peers) and the messages on them. */
package org.fulmarreach.entry.peers;
