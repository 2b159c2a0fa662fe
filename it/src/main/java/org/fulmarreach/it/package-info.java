/**
 * Runs deployments of real processes on one machine for the demo, the integration tests, the measurements and the soak.
 */
package org.fulmarreach.it;
