/** Decides whether a job is accepted while a pool has too little room. Pure functions without I/O or clock. */
package org.fulmarreach.core.overload;
