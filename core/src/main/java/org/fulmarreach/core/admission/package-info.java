/** What one VM holds, and whether a call or a task fits. */
package org.fulmarreach.core.admission;
