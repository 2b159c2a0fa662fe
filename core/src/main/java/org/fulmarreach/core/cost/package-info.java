/** What it costs callers when their requests are delayed, refused or stopped. Pure functions without I/O or clock. */
package org.fulmarreach.core.cost;
