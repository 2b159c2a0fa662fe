/** Stand-ins of the users' platform on loopback, and a soak of the processes that its deploy file starts. */
package org.fulmarreach.it.platform;
