/** Stand-ins for the platform, targets, a fault-injecting proxy and a load tool; docs/PLATFORM.md describes them. */
package org.fulmarreach.standin;
