/** HTTP endpoints for callers and operators. */
package org.fulmarreach.entry.http;
