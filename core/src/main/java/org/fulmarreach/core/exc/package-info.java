/** Typed errors: result types for expected failures, and one tree of exceptions. */
package org.fulmarreach.core.exc;
