/** Routing of calls to guards and their pending state. */
package org.fulmarreach.entry.calls;
