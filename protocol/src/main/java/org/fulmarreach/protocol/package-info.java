/** Module protocol; docs/design.md section 3 gives its role. */
package org.fulmarreach.protocol;
