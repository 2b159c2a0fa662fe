/** Startup and wiring of an entry; docs/design.md section 3 describes this module. */
package org.fulmarreach.entry;
