/**
 * Decisions about jobs that callers submit: what is known of them, on which worker each task runs, and when it is
 * moved. Nothing here does I/O or reads a clock.
 */
package org.fulmarreach.core.jobs;
