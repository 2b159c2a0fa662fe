/** Error handling: a result type for expected failures, and the exception hierarchy. */
package org.fulmarreach.core.exc;
