/** Routing of calls to guards, and the state of calls until their final answer. */
package org.fulmarreach.entry.calls;
