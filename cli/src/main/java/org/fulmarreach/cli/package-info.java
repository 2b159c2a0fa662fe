/** The operators' command-line tool; docs/design.md section 3 describes this module. */
package org.fulmarreach.cli;
