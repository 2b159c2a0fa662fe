/**
 * Scheduling of jobs that callers submit: the state of jobs and tasks, the placement of tasks on workers, and moving
 * tasks between workers. This package performs no I/O and reads no clock.
 */
package org.fulmarreach.core.jobs;
