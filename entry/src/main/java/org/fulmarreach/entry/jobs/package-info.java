/** Jobs at the entry: submission and cancellation, status queries, leader election, and sessions with guards. */
package org.fulmarreach.entry.jobs;
