/** Root of the protocol module, which docs/design.md describes in section 3. */
package org.fulmarreach.protocol;
