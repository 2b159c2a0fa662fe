/** The guard's part in running jobs: it speaks to the worker beside it on behalf of the leader. */
package org.fulmarreach.guard.jobs;
