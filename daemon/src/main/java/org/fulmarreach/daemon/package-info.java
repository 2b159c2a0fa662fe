/** Main classes of the daemon; docs/design.md section 3 describes this module. */
package org.fulmarreach.daemon;
