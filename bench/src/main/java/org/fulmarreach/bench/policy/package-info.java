/** Scenarios that run the production decision classes and baseline policies under virtual time. */
package org.fulmarreach.bench.policy;
