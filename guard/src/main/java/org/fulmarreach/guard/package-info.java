/** The guard; section 3 of docs/design.md describes its role. */
package org.fulmarreach.guard;
