/** Jobs at the entry: intake, answers about their state, leadership, and sessions with guards. */
package org.fulmarreach.entry.jobs;
