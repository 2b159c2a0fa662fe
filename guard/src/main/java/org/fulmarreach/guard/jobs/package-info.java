/** The guard's part in running jobs: it connects the leader to the worker on the same VM. */
package org.fulmarreach.guard.jobs;
