/** Connections to the guards of this region and the directory of their targets. */
package org.fulmarreach.entry.guards;
