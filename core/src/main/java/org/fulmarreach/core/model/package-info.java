/** Immutable domain model: VMs, zones, members, targets and tasks. */
package org.fulmarreach.core.model;
