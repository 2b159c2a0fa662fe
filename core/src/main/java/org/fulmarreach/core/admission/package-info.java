/** Admission control on one VM: slots for calls, and processors, memory and accelerators for tasks. */
package org.fulmarreach.core.admission;
